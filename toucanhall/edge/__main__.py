"""Runs a VM by the settings file that the platform names."""

import os
import sys
from pathlib import Path

from toucanhall.edge import process
from toucanhall.platform.settings_file import SettingsError
from toucanhall.platform.names import SETTINGS_VARIABLE


def main() -> int:
    """Run the VM; return 2 when its settings cannot be used."""
    named = os.environ.get(SETTINGS_VARIABLE)
    if not named:
        sys.stderr.write(f'{SETTINGS_VARIABLE} names no settings file\n')
        return 2
    try:
        process.run(Path(named))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return 2
    return 0


if __name__ == '__main__':
    sys.exit(main())

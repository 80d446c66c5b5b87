"""Runs a VM with the settings file named by the environment."""

import os
import sys
from pathlib import Path

from toucanhall.edge import process
from toucanhall.platform.names import SETTINGS_VARIABLE
from toucanhall.platform.settings_file import SettingsError


def main() -> int:
    """Run the VM; return 2 if its settings are missing or invalid."""
    settings_path = os.environ.get(SETTINGS_VARIABLE)
    if not settings_path:
        sys.stderr.write(
            f'{SETTINGS_VARIABLE} is unset or empty; '
            'it must name the settings file\n',
        )
        return 2
    try:
        process.run(Path(settings_path))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return 2
    return 0


if __name__ == '__main__':
    sys.exit(main())

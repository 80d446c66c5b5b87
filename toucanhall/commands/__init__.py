"""The subcommands: their arguments, examples and what they run."""

from typing import Final

from toucanhall.commands import (
    catalogues,
    drains,
    keys,
    local,
    logs,
    status,
)
from toucanhall.commands.model import Command, Console, ExitCode

__all__ = ('COMMANDS', 'GROUPS', 'Command', 'Console', 'ExitCode')

COMMANDS: Final[tuple[Command, ...]] = (
    *local.COMMANDS,
    *catalogues.COMMANDS,
    *keys.COMMANDS,
    *drains.COMMANDS,
    *status.COMMANDS,
    *logs.COMMANDS,
)

GROUPS: Final = {
    'catalogue': 'check, apply, show and compare catalogues',
    'key': 'grant, withdraw and list keys',
    'drain': 'take targets, VMs and zones out of use and back',
}

"""The subcommands, with their arguments, examples and functions."""

from typing import Final

from toucanhall.commands import (
    catalogues,
    configuration,
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
    *configuration.COMMANDS,
    *catalogues.COMMANDS,
    *keys.COMMANDS,
    *drains.COMMANDS,
    *status.COMMANDS,
    *logs.COMMANDS,
)

GROUPS: Final = {
    'catalogue': 'check, apply, show and compare catalogues',
    'key': 'grant, withdraw and list keys',
    'drain': 'stop and resume new work for targets, VMs and zones',
}

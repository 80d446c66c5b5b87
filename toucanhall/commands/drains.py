"""Subcommands of `drain`: start, stop and status."""

from argparse import Namespace
from collections.abc import Callable
from typing import Final

from returns.result import Success

from toucanhall.commands.api import connect, print_failure
from toucanhall.commands.model import (
    AT,
    AT_EXAMPLE,
    JSON,
    WAIT,
    Argument,
    Command,
    Console,
    ExitCode,
)
from toucanhall.commands.printing import print_json, print_table
from toucanhall.commands.waiting import make_change

__all__ = ('COMMANDS',)

_KINDS: Final = {'target': 'targets', 'vm': 'vms', 'zone': 'zones'}


def _make_drain_command(method: str) -> Callable[[Namespace, Console], int]:
    def change(options: Namespace, console: Console) -> int:
        path = f'drains/{_KINDS[options.kind]}/{options.name}'
        return make_change(
            options, console, lambda api: api.write(method, path),
        )  # fmt: skip

    return change


def show_drains(options: Namespace, console: Console) -> int:
    """Print drained targets, VMs and zones."""
    shown = connect(options).bind(lambda api: api.read('drains'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    if options.json:
        return print_json(console, shown.unwrap())
    drains = shown.unwrap()['drains']
    rows = [
        (kind, name)
        for kind, section in _KINDS.items()
        for name in sorted(drains.get(section, ()))
    ]
    print_table(console, ('kind', 'drained'), rows)
    return ExitCode.DONE


_KIND: Final = Argument(
    'kind',
    {'choices': tuple(_KINDS), 'help': 'the kind to drain'},
)
_NAME: Final = Argument('name', {'help': 'the name of the target, VM or zone'})

COMMANDS: Final = (
    Command(
        ('drain', 'start'),
        'send no new work to a target, VM or zone',
        f'drain start target guide-1 --wait 10 {AT_EXAMPLE}',
        (_KIND, _NAME, AT, WAIT, JSON),
        _make_drain_command('PUT'),
    ),
    Command(
        ('drain', 'stop'),
        'end a drain',
        f'drain stop target guide-1 {AT_EXAMPLE}',
        (_KIND, _NAME, AT, WAIT, JSON),
        _make_drain_command('DELETE'),
    ),
    Command(
        ('drain', 'status'),
        'list drained targets, VMs and zones',
        f'drain status {AT_EXAMPLE}',
        (AT, JSON),
        show_drains,
    ),
)

"""The subcommand `status`: the fleet as one entry VM sees it."""

from argparse import Namespace
from collections.abc import Mapping
from typing import Any, Final

from returns.result import Success

from toucanhall.commands.api import connect, print_failure
from toucanhall.commands.model import AT, JSON, Command, Console, ExitCode
from toucanhall.commands.printing import print_json, print_table

__all__ = ('COMMANDS',)

_REFUSED_PREFIX: Final = 'refused.'
_MAX_REFUSAL_REASONS: Final = 8


def show_status(options: Namespace, console: Console) -> int:
    """Print the state of the fleet as one entry VM sees it."""
    shown = connect(options).bind(lambda api: api.read('status'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    status = shown.unwrap()
    if options.json:
        return print_json(console, status)
    console.print_line(
        f'as seen by {status["vm"]}, revision {status["revision"]}'
    )
    _print_zones(console, status)
    _print_members(console, status)
    _print_shares(console, status)
    _print_refusals(console, status)
    return ExitCode.DONE


def _print_zones(console: Console, status: Mapping[str, Any]) -> None:
    console.print_line('')
    rows = (
        (
            zone,
            found['in_force'],
            'yes' if found['confirmed'] else 'NOT YET',
            ', '.join(found.get('waiting', ())),
        )
        for zone, found in sorted(status['zones'].items())
    )
    print_table(console, ('zone', 'in force', 'confirmed', 'waiting for'), rows)


def _print_members(console: Console, status: Mapping[str, Any]) -> None:
    console.print_line('')
    rows = sorted(
        (member['zone'], member['vm'], member['health'])
        for member in status['members']
    )
    print_table(console, ('zone', 'other VM', 'health'), rows)


def _print_shares(console: Console, status: Mapping[str, Any]) -> None:
    console.print_line('')
    rows = (
        (
            team,
            f'{share["rate"]:.4g}',
            f'{share["cap"]:.4g}',
            _format_used_burst(share),
        )
        for team, share in sorted(status['shares'].items())
    )
    header = ('team', 'rate/s here', 'burst here', 'burst used')
    print_table(console, header, rows)


def _format_used_burst(share: Mapping[str, Any]) -> str:
    if not share['cap']:
        return '-'
    return f'{1 - share["tokens"] / share["cap"]:.0%}'


def _print_refusals(console: Console, status: Mapping[str, Any]) -> None:
    console.print_line('')
    counted = sorted(
        (-count, name.removeprefix(_REFUSED_PREFIX))
        for name, count in status['counters'].items()
        if name.startswith(_REFUSED_PREFIX)
    )
    rows = [(name, -count) for count, name in counted[:_MAX_REFUSAL_REASONS]]
    print_table(console, ('refused for', 'requests'), rows)


COMMANDS: Final = (
    Command(
        ('status',),
        'show revisions by zone, members, limits in use and refusals',
        'status --at http://127.0.1.1:8080',
        (AT, JSON),
        show_status,
    ),
)

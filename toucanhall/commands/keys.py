"""Subcommands of `key`: grant, withdraw and list."""

import secrets
from argparse import Namespace
from typing import Final

from returns.result import Success

from toucanhall.commands.api import Body, connect, print_failure
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
from toucanhall.commands.printing import print_accepted, print_json, print_table
from toucanhall.commands.waiting import make_change
from toucanhall.forwarding.credentials import digest_key

__all__ = ('COMMANDS',)

_KEY_BYTES: Final = 24


def grant_key(options: Namespace, console: Console) -> int:
    """Grant a new key to a team and print it; only its digest is stored."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    entry = {'team': options.team, 'digest': digest_key(key)}

    def print_granted(console: Console, options: Namespace, body: Body) -> None:
        if options.json:
            print_json(console, {**body, 'key': key})
            return
        print_accepted(console, options, body)
        console.print_line(f'key {key}')
        console.print_line(
            'only its digest is stored; it cannot be shown again'
        )

    return make_change(
        options,
        console,
        lambda api: api.write('PUT', f'keys/{options.name}', entry),
        print_granted,
    )


def withdraw_key(options: Namespace, console: Console) -> int:
    """Withdraw a key."""
    return make_change(
        options,
        console,
        lambda api: api.write('DELETE', f'keys/{options.name}'),
    )


def list_keys(options: Namespace, console: Console) -> int:
    """Print name, team and digest of the granted keys."""
    shown = connect(options).bind(lambda api: api.read('keys'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    if options.json:
        return print_json(console, shown.unwrap())
    keys = shown.unwrap()['keys']
    rows = (
        (name, key['team'], key['digest']) for name, key in sorted(keys.items())
    )
    print_table(console, ('key', 'team', 'digest'), rows)
    return ExitCode.DONE


_NAME: Final = Argument('name', {'help': 'the name of the key'})
_TEAM: Final = Argument(
    '--team',
    {'required': True, 'help': 'the team that the key belongs to'},
)

COMMANDS: Final = (
    Command(
        ('key', 'grant'),
        'grant a key to a team; it is shown once, only its digest is stored',
        f'key grant hostel-1 --team hostels {AT_EXAMPLE}',
        (_NAME, _TEAM, AT, WAIT, JSON),
        grant_key,
        'key-grant',
    ),
    Command(
        ('key', 'withdraw'),
        'withdraw a key',
        f'key withdraw hostel-1 --wait 10 {AT_EXAMPLE}',
        (_NAME, AT, WAIT, JSON),
        withdraw_key,
        'key-withdraw',
    ),
    Command(
        ('key', 'list'),
        'list granted keys by name, team and digest',
        f'key list {AT_EXAMPLE}',
        (AT, JSON),
        list_keys,
    ),
)

"""The subcommands: their arguments, examples and what they run."""

import os
import secrets
from argparse import Namespace
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple, TextIO

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import HTTPError

from toucanhall import catalogue, documents, events, settings
from toucanhall.admin.service import PREFIX
from toucanhall.documents import Finding
from toucanhall.entry import Entry
from toucanhall.forwarding.credentials import digest_key

__all__ = ('COMMANDS', 'Command')

_DONE: Final = 0
_REFUSED: Final = 1
_WRONG: Final = 2
_UNKNOWN: Final = 3
_TOKEN_VARIABLE: Final = 'TOUCANHALL_TOKEN'
_CALL_SECONDS: Final = 10.0
_KEY_BYTES: Final = 24
_OK: Final = 200


class Command(NamedTuple):
    """A subcommand: its arguments by flag, and the function that runs it."""

    name: str
    summary: str
    example: str
    arguments: tuple[tuple[str, dict[str, Any]], ...]
    run: Callable[[Namespace, TextIO], int]


class ApiError(NamedTuple):
    """The operators' API did not do what was asked; `code` is to exit with."""

    code: int
    what: str


Body = Mapping[str, Any]


def run_entry(options: Namespace, out: TextIO) -> int:
    """Run an entry VM until it is told to stop."""
    loaded = settings.load(options.settings)
    if not isinstance(loaded, Success):
        return _print_findings(options.settings, loaded.failure(), out)
    found = loaded.unwrap()
    events.configure(found.log_level, found.vm)
    Entry(settings=found).run()
    return _DONE


def check_settings(options: Namespace, out: TextIO) -> int:
    """Check a settings file without starting anything."""
    loaded = settings.load(options.file)
    if not isinstance(loaded, Success):
        return _print_findings(options.file, loaded.failure(), out)
    print(f'{options.file}: settings are valid', file=out)
    return _DONE


def check_catalogue(options: Namespace, out: TextIO) -> int:
    """Check a catalogue file without applying it."""
    read = _read_catalogue(options.file)
    if not isinstance(read, Success):
        return _print_findings(options.file, read.failure(), out)
    print(f'{options.file}: catalogue is valid', file=out)
    return _DONE


def apply_catalogue(options: Namespace, out: TextIO) -> int:
    """Apply a catalogue file; keys that were granted are kept."""
    read = _read_catalogue(options.file)
    if not isinstance(read, Success):
        return _print_findings(options.file, read.failure(), out)

    def edit(held: Body) -> Body:
        return {'keys': held.get('keys', {}), **read.unwrap()}

    return _report(_change(options.at, edit), out)


def show_catalogue(options: Namespace, out: TextIO) -> int:
    """Print the catalogue in force at an entry VM."""
    return _report(_call(options.at, 'GET', 'catalogue'), out)


def show_status(options: Namespace, out: TextIO) -> int:
    """Print what an entry VM knows of the fleet."""
    return _report(_call(options.at, 'GET', 'status'), out)


def grant_key(options: Namespace, out: TextIO) -> int:
    """Grant a key to a team and print it, the only time it is shown."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    entry = {'team': options.team, 'digest': digest_key(key)}

    def edit(held: Body) -> Body:
        keys = {**held.get('keys', {}), options.name: entry}
        return {**held, 'keys': keys}

    changed = _change(options.at, edit)
    return _report(changed.map(lambda body: {**body, 'key': key}), out)


def withdraw_key(options: Namespace, out: TextIO) -> int:
    """Withdraw a key."""

    def edit(held: Body) -> Body:
        keys = {**held.get('keys', {})}
        keys.pop(options.name, None)
        return {**held, 'keys': keys}

    return _report(_change(options.at, edit), out)


def _read_catalogue(path: Path) -> Result[Body, tuple[Finding, ...]]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error), 'a readable file'),))
    return documents.parse(text).bind(
        lambda document: catalogue.read(document).map(lambda _: document),
    )


def _change(
    base: str,
    edit: Callable[[Body], Body],
) -> Result[Body, ApiError]:
    shown = _call(base, 'GET', 'catalogue')
    if not isinstance(shown, Success):
        return shown
    held = shown.unwrap()
    edited = edit(held['catalogue'] or {})
    return _call(base, 'PUT', 'catalogue', edited, held['revision'])


def _call(
    base: str,
    method: str,
    name: str,
    content: Body | None = None,
    revision: int = 0,
) -> Result[Body, ApiError]:
    headers = {
        'Authorization': f'Bearer {os.environ.get(_TOKEN_VARIABLE, "")}',
        'If-Match': f'"{revision}"',
    }
    try:
        response = urllib3.request(
            method,
            f'{base}{PREFIX}{name}',
            body=msgspec.json.encode(content) if content else None,
            headers=headers,
            timeout=_CALL_SECONDS,
            retries=False,
        )
    except HTTPError as error:
        return Failure(ApiError(_UNKNOWN, f'{base}: {error}'))
    if response.status != _OK:
        return Failure(ApiError(_REFUSED, response.data.decode()))
    return Success(msgspec.json.decode(response.data, type=dict[str, Any]))


def _report(called: Result[Body, ApiError], out: TextIO) -> int:
    if isinstance(called, Success):
        text = msgspec.json.format(msgspec.json.encode(called.unwrap()))
        print(text.decode(), file=out)
        return _DONE
    error = called.failure()
    print(f'toucanhall: {error.what}', file=out)
    return error.code


def _print_findings(
    path: Path,
    findings: tuple[Finding, ...],
    out: TextIO,
) -> int:
    for finding in findings:
        print(f'{path}: {documents.render(finding)}', file=out)
    return _WRONG


_FILE: Final = ('file', {'type': Path, 'help': 'the file to read'})
_AT: Final = (
    '--at',
    {'required': True, 'metavar': 'URL', 'help': 'URL of any entry VM'},
)
_NAME: Final = ('name', {'help': 'the name of the key'})
_AT_EXAMPLE: Final = '--at http://127.0.1.1:8080'

COMMANDS: Final[tuple[Command, ...]] = (
    Command(
        'entry',
        'run an entry VM',
        'entry --settings vm.jsonc',
        (('--settings', {'type': Path, 'required': True}),),
        run_entry,
    ),
    Command(
        'check-settings',
        'check a settings file whole',
        'check-settings vm.jsonc',
        (_FILE,),
        check_settings,
    ),
    Command(
        'catalogue-check',
        'check a catalogue file whole',
        'catalogue-check lumina.jsonc',
        (_FILE,),
        check_catalogue,
    ),
    Command(
        'catalogue-apply',
        'put a catalogue file into force',
        f'catalogue-apply lumina.jsonc {_AT_EXAMPLE}',
        (_FILE, _AT),
        apply_catalogue,
    ),
    Command(
        'catalogue-show',
        'print the catalogue in force',
        f'catalogue-show {_AT_EXAMPLE}',
        (_AT,),
        show_catalogue,
    ),
    Command(
        'key-grant',
        'grant a key to a team; it is shown once',
        f'key-grant hostel-1 --team hostels {_AT_EXAMPLE}',
        (_NAME, ('--team', {'required': True}), _AT),
        grant_key,
    ),
    Command(
        'key-withdraw',
        'withdraw a key',
        f'key-withdraw hostel-1 {_AT_EXAMPLE}',
        (_NAME, _AT),
        withdraw_key,
    ),
    Command(
        'status',
        'print what an entry VM knows of the fleet',
        f'status {_AT_EXAMPLE}',
        (_AT,),
        show_status,
    ),
)

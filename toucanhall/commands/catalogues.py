"""Subcommands of `catalogue`: check, apply, show, diff and history."""

from argparse import Namespace
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from returns.result import Failure, Result, Success

from toucanhall import catalogue, documents
from toucanhall.catalogue.differences import compare, describe
from toucanhall.commands.api import ApiError, connect, print_failure
from toucanhall.commands.model import (
    AT,
    AT_EXAMPLE,
    FILE,
    JSON,
    WAIT,
    Argument,
    Command,
    Console,
    ExitCode,
)
from toucanhall.commands.printing import (
    print_accepted,
    print_findings,
    print_json,
    print_table,
)
from toucanhall.commands.waiting import wait_in_force
from toucanhall.documents import Document, Finding

__all__ = ('COMMANDS',)

_CONFLICT_STATUS: Final = 412
_KEPT_SECTIONS: Final = ('keys', 'drains')
_ALLOWED_FILE: Final = 'a readable file'


def check_catalogue(options: Namespace, console: Console) -> int:
    """Check a catalogue file without applying it."""
    read = _read_catalogue(options.file)
    if not isinstance(read, Success):
        return print_findings(console, options.file, read.failure())
    console.print_line(f'{options.file}: catalogue is valid')
    return ExitCode.DONE


def apply_catalogue(options: Namespace, console: Console) -> int:
    """Apply a catalogue file; keep keys and drains that it does not contain."""
    read = _read_catalogue(options.file)
    if not isinstance(read, Success):
        return print_findings(console, options.file, read.failure())
    opened = connect(options)
    shown = opened.bind(lambda api: api.read('catalogue'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    api, held = opened.unwrap(), shown.unwrap()
    document = _keep_sections(held['catalogue'] or {}, read.unwrap())
    revision = held['revision']
    if options.replace is not None:
        revision = options.replace
    applied = api.write('PUT', 'catalogue', document, revision)
    if not isinstance(applied, Success):
        return _print_apply_failure(options, console, applied.failure())
    print_accepted(console, options, applied.unwrap())
    return wait_in_force(api, options, console, applied.unwrap()['accepted'])


def show_catalogue(options: Namespace, console: Console) -> int:
    """Print the catalogue in force at an entry VM."""
    shown = connect(options).bind(lambda api: api.read('catalogue'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    return print_json(console, shown.unwrap())


def diff_catalogue(options: Namespace, console: Console) -> int:
    """Print what applying a file would change."""
    read = _read_catalogue(options.file)
    if not isinstance(read, Success):
        return print_findings(console, options.file, read.failure())
    shown = connect(options).bind(lambda api: api.read('catalogue'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    held = shown.unwrap()['catalogue'] or {}
    differences = compare(held, _keep_sections(held, read.unwrap()))
    if options.json:
        found = [entry._asdict() for entry in differences]
        revision = shown.unwrap()['revision']
        return print_json(
            console, {'revision': revision, 'differences': found},
        )  # fmt: skip
    console.print_line(f'against revision {shown.unwrap()["revision"]}:')
    for entry in differences:
        console.print_line(f'  {describe(entry)}')
    if not differences:
        console.print_line('  no difference')
    return ExitCode.DONE


def show_history(options: Namespace, console: Console) -> int:
    """Print the accepted changes, or the one with a given id."""
    query = f'?change={options.change}' if options.change else ''
    shown = connect(options).bind(lambda api: api.read(f'history{query}'))
    if not isinstance(shown, Success):
        return print_failure(console, shown.failure())
    if options.json:
        return print_json(console, shown.unwrap())
    changes = shown.unwrap()['changes']
    if options.change and not changes:
        console.print_error(f'change {options.change} was not accepted')
        return ExitCode.REFUSED
    print_table(
        console,
        ('revision', 'when (UTC)', 'operator', 'change', 'what'),
        (_make_row(change) for change in changes),
    )
    return ExitCode.DONE


def _make_row(change: Mapping[str, Any]) -> tuple[object, ...]:
    return (
        change['revision'],
        change['at'],
        change['operator'],
        change['id'],
        ', '.join(change['what']),
    )


def _keep_sections(held: Document, document: Document) -> dict[str, Any]:
    kept = {name: held[name] for name in _KEPT_SECTIONS if name in held}
    return {**kept, **document}


def _print_apply_failure(
    options: Namespace, console: Console, error: ApiError
) -> int:
    print_failure(console, error)
    if error.body.get('status') == _CONFLICT_STATUS and 'current' in error.body:
        current = error.body['current']
        newest = error.body['newest_change'] or {}
        console.print_error(
            f'revision {current} was made by {newest.get("operator", "?")} '
            f'at {newest.get("at", "?")}: {", ".join(newest.get("what", ()))}',
        )
        console.print_error(
            f'check `catalogue diff {options.file}`, then run '
            f'`catalogue apply {options.file} --replace {current}`',
        )
    return error.code


def _read_catalogue(path: Path) -> Result[Document, tuple[Finding, ...]]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error), _ALLOWED_FILE),))
    return documents.parse(text).bind(
        lambda document: catalogue.read(document).map(lambda _: document),
    )


COMMANDS: Final = (
    Command(
        ('catalogue', 'check'),
        'check a catalogue file without applying it',
        'catalogue check lumina.jsonc',
        (FILE,),
        check_catalogue,
        'catalogue-check',
    ),
    Command(
        ('catalogue', 'apply'),
        'apply a catalogue file',
        f'catalogue apply lumina.jsonc --wait 10 {AT_EXAMPLE}',
        (
            FILE,
            AT,
            Argument(
                '--replace',
                {
                    'type': int,
                    'metavar': 'REV',
                    'help': 'replace only this revision',
                },
            ),
            WAIT,
            JSON,
        ),
        apply_catalogue,
        'catalogue-apply',
    ),
    Command(
        ('catalogue', 'show'),
        'print the catalogue in force as JSON',
        f'catalogue show {AT_EXAMPLE}',
        (AT, JSON),
        show_catalogue,
        'catalogue-show',
    ),
    Command(
        ('catalogue', 'diff'),
        'print what applying a file would change',
        f'catalogue diff lumina.jsonc {AT_EXAMPLE}',
        (FILE, AT, JSON),
        diff_catalogue,
    ),
    Command(
        ('catalogue', 'history'),
        'print accepted changes: revision, time, operator and entries',
        f'catalogue history {AT_EXAMPLE}',
        (
            AT,
            Argument(
                '--change',
                {'metavar': 'ID', 'help': 'only the change with this id'},
            ),
            JSON,
        ),
        show_history,
    ),
)

"""Prints results as tables or as JSON."""

from argparse import Namespace
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from toucanhall import documents
from toucanhall.commands.model import Console, ExitCode
from toucanhall.documents import Finding

__all__ = ('print_findings', 'print_json', 'print_table', 'print_accepted')


def print_json(console: Console, body: Mapping[str, Any]) -> int:
    """Print an object as JSON."""
    console.print_line(msgspec.json.format(msgspec.json.encode(body)).decode())
    return ExitCode.DONE


def print_table(
    console: Console,
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print rows in aligned columns below a header."""
    cells = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        console.print_line('  '.join(padded).rstrip())


def print_accepted(
    console: Console,
    options: Namespace,
    body: Mapping[str, Any],
) -> int:
    """Print the result of an accepted change."""
    if options.json:
        return print_json(console, body)
    if body.get('changed', True):
        console.print_line(f'accepted as revision {body["accepted"]}')
        console.print_line(f'change {body["change"]}')
    else:
        console.print_line(f'no change to revision {body["accepted"]}')
    if not body.get('audited', True):
        console.print_line(
            'audit entry not copied to the store yet; retried with next change'
        )
    return ExitCode.DONE


def print_findings(
    console: Console,
    path: Path,
    findings: tuple[Finding, ...],
) -> int:
    """Print all errors of a file and return the exit code."""
    for finding in findings:
        console.print_error(f'{path}: {documents.render(finding)}')
    return ExitCode.INVALID_INPUT

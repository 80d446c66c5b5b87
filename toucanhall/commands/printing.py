"""Prints results: tables for people, JSON for scripts."""

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
    """Print rows in columns that are as wide as their widest cell."""
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
    """Print what became of a change."""
    if options.json:
        return print_json(console, body)
    if body.get('changed', True):
        console.print_line(f'accepted as revision {body["accepted"]}')
        console.print_line(f'change {body["change"]}')
    else:
        console.print_line(f'no change to revision {body["accepted"]}')
    if not body.get('audited', True):
        console.print_line(
            'the copy to the audit pages follows with the next change'
        )
    return ExitCode.DONE


def print_findings(
    console: Console,
    path: Path,
    findings: tuple[Finding, ...],
) -> int:
    """Print every error of a file."""
    for finding in findings:
        console.print_error(f'{path}: {documents.render(finding)}')
    return ExitCode.INVALID_INPUT

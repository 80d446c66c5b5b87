"""Subcommand `check`: checks a configuration of the platform's store."""

import enum
from argparse import Namespace
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

from toucanhall.commands.model import FILE, Argument, Command, Console
from toucanhall.commands.printing import print_json
from toucanhall.configuration_check.checking import (
    CheckedText,
    check_text,
    compare_texts,
)
from toucanhall.configuration_check.findings import (
    Difference,
    Finding,
    Report,
    Severity,
    format_path,
)

__all__ = ('COMMANDS', 'CheckCode')


class CheckCode(enum.IntEnum):
    """Exit codes of `check`, the greatest that applies."""

    CLEAN = 0
    WARNINGS = 1
    ERRORS = 2
    UNREADABLE = 3


class _Line(NamedTuple):
    file: Path
    line: int
    finding: Finding


def check_configuration(options: Namespace, console: Console) -> int:
    """Check a file, and compare it with the version in force."""
    try:
        changed = check_text(options.file.read_text(encoding='utf-8'))
        current = options.against and check_text(
            options.against.read_text(encoding='utf-8')
        )
    except (OSError, UnicodeDecodeError) as error:
        console.print_error(f'cannot read: {error}')
        return CheckCode.UNREADABLE
    report = compare_texts(changed, current) if current else Report()
    lines = tuple(_list_lines(options, changed, report))
    code = _choose_code(lines)
    if options.format == 'json':
        print_json(console, _encode(lines, report, code))
    else:
        _print_text(console, options, lines, report)
    return code


def _list_lines(
    options: Namespace, changed: CheckedText, report: Report
) -> Iterator[_Line]:
    for line, finding in changed.findings:
        yield _Line(options.file, line, finding)
    for finding in report.findings:
        is_current = finding.reason == 'current-rejected'
        yield _Line(options.against if is_current else options.file, 1, finding)


def _choose_code(lines: tuple[_Line, ...]) -> CheckCode:
    severities = {line.finding.severity for line in lines}
    if Severity.ERROR in severities:
        return CheckCode.ERRORS
    return CheckCode.WARNINGS if severities else CheckCode.CLEAN


def _print_text(
    console: Console,
    options: Namespace,
    lines: tuple[_Line, ...],
    report: Report,
) -> None:
    for file, line, finding in lines:
        console.print_line(
            f'{file}:{line}: {finding.severity.value}: '
            f'{format_path(finding.path)}: {finding.text} [{finding.reason}]'
        )
    if not lines:
        console.print_line(f'{options.file}: no findings')
    for group, differences in _group(report.differences).items():
        console.print_line(f'\n{group}:')
        for text in differences:
            console.print_line(f'  {text}')
    if options.against and not report.differences and not report.findings:
        console.print_line('nothing differs for callers')


def _encode(
    lines: tuple[_Line, ...], report: Report, code: CheckCode
) -> Mapping[str, Any]:
    return {
        'exit_code': int(code),
        'findings': [
            {
                'file': str(file),
                'line': line,
                'field': format_path(finding.path),
                'severity': finding.severity.value,
                'reason': finding.reason,
                'text': finding.text,
            }
            for file, line, finding in lines
        ],
        'differences': _group(report.differences),
    }


def _group(differences: tuple[Difference, ...]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for group, text in differences:
        groups.setdefault(group, []).append(text)
    return groups


COMMANDS: Final = (
    Command(
        ('check',),
        "check a configuration before it is written to the platform's store",
        'check configuration.jsonc --against current.jsonc',
        (
            FILE,
            Argument(
                '--against',
                {
                    'type': Path,
                    'metavar': 'CURRENT',
                    'help': 'the version in force; print what differs from it',
                },
            ),
            Argument(
                '--format',
                {
                    'choices': ('text', 'json'),
                    'default': 'text',
                    'help': 'json for scripts; the default is text',
                },
            ),
        ),
        check_configuration,
    ),
)

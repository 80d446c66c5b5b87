"""Checks the text of a configuration file, alone or against another one."""

import re
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from returns.result import Success

from toucanhall import documents
from toucanhall.configuration_check.differences import compare
from toucanhall.configuration_check.field_errors import find_field_errors
from toucanhall.configuration_check.findings import (
    Finding,
    Report,
    Severity,
    make_error,
)
from toucanhall.configuration_check.limit_checks import find_limit_faults
from toucanhall.configuration_check.route_checks import find_route_faults
from toucanhall.configuration_check.source_lines import (
    find_line,
    find_repeated_name,
    index_lines,
)
from toucanhall.fleet.model import Configuration
from toucanhall.platform.documents import decode_configuration

__all__ = ('CheckedText', 'check_text', 'compare_texts')

# Errors of json5 begin with one of them.
_REPEATED_NAME: Final = 'Duplicate key'
_PARSER_LINE: Final = re.compile(r'<string>:(\d+) ')


class CheckedText(NamedTuple):
    """The findings of a text, each with its line, and what VMs decode.

    `configuration` is None if VMs reject it.
    """

    findings: tuple[tuple[int, Finding], ...]
    configuration: Configuration | None = None


def check_text(text: str) -> CheckedText:
    """Return the findings of a file of JSON with comments, by line."""
    parsed = documents.parse(text)
    if not isinstance(parsed, Success):
        return CheckedText((_explain_malformed(text, parsed.failure()[0]),))
    document = parsed.unwrap()
    lines = index_lines(text)
    findings, configuration = _check_document(document)
    return CheckedText(
        tuple(
            sorted(
                (
                    (find_line(lines, finding.path), finding)
                    for finding in findings
                ),
                key=lambda found: found[0],
            )
        ),
        configuration,
    )


def compare_texts(changed: CheckedText, current: CheckedText) -> Report:
    """Return what changes from `current`, and whether VMs apply the change."""
    if current.configuration is None:
        text = 'VMs reject the version to compare with'
        return Report((make_error('current-rejected', (), text),))
    if changed.configuration is None:
        return Report()
    before, after = current.configuration, changed.configuration
    findings: tuple[Finding, ...] = ()
    if after.version <= before.version:
        text = (
            f'{after.version:x} is not above {before.version:x}, the version '
            f'in force: VMs do not apply it'
        )
        findings = (make_error('old-version', ('version',), text),)
    return Report(findings, compare(before, after))


def _explain_malformed(
    text: str, error: documents.Finding
) -> tuple[int, Finding]:
    """Return why a text is no object of JSON, and in which line."""
    found = error.found
    if found.startswith(_REPEATED_NAME):
        line, path = find_repeated_name(text)
        return line, make_error('repeated-field', path, 'stands here again')
    matched = _PARSER_LINE.match(found)
    reason = f'{_PARSER_LINE.sub("", found)}; allowed: {error.allowed}'
    line = int(matched[1]) if matched else 1
    return line, make_error('malformed', (), reason)


def _check_document(
    document: Mapping[str, Any],
) -> tuple[tuple[Finding, ...], Configuration | None]:
    errors = find_field_errors(document)
    if any(finding.severity is Severity.ERROR for finding in errors):
        return errors, None
    configuration = decode_configuration(document)
    findings = (
        *errors,
        *find_route_faults(document, configuration),
        *find_limit_faults(document, configuration),
    )
    return findings, configuration

"""What a check reports: findings with their field, and differences."""

from enum import Enum
from typing import Final, NamedTuple, TypeAlias

__all__ = ('Difference', 'Finding', 'Path', 'Report', 'Severity', 'format_path')

Path: TypeAlias = tuple[str | int, ...]  # names and positions, from the root
_ROOT: Final = '$'


class Severity(Enum):
    """How a finding is to be taken.

    With an error, VMs reject the configuration or some requests are never
    served as it says. A warning is a value that is read but has no use.
    """

    ERROR = 'error'
    WARNING = 'warning'


class Finding(NamedTuple):
    """A fault of a configuration; `reason` is a stable name for scripts."""

    severity: Severity
    reason: str
    path: Path
    text: str


class Difference(NamedTuple):
    """A change against the version in force that callers may notice."""

    group: str
    text: str


class Report(NamedTuple):
    """The findings in the order of the file, and the differences by group."""

    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()


def make_error(reason: str, path: Path, text: str) -> Finding:
    """Return an error at a field."""
    return Finding(Severity.ERROR, reason, path, text)


def make_warning(reason: str, path: Path, text: str) -> Finding:
    """Return a warning at a field."""
    return Finding(Severity.WARNING, reason, path, text)


def format_path(path: Path) -> str:
    """Return a path as `services[0].name`, `$` for the whole document."""
    text = ''.join(
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in path
    )
    return text.removeprefix('.') or _ROOT

"""Lists the entries of a configuration with their paths in the file."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from toucanhall.configuration_check.findings import Path
from toucanhall.platform import configuration_fields as fields

__all__ = ('Entry', 'list_entries', 'list_keys', 'list_parts', 'list_rules')


class Entry(NamedTuple):
    """An object or a value of the file, and where it is."""

    path: Path
    content: Any


def list_entries(document: Mapping[str, Any], section: str) -> Iterator[Entry]:
    """List the entries of a list, which may be missing."""
    for position, entry in enumerate(document.get(section) or ()):
        yield Entry((section, position), entry)


def list_rules(document: Mapping[str, Any]) -> Iterator[tuple[str, Entry]]:
    """List the rules of all hosts, each with its host as requests name it."""
    for path, host in list_entries(document, fields.HOSTS):
        for position, rule in enumerate(host[fields.HOST_RULES]):
            yield (
                host[fields.HOST_NAME].lower(),
                Entry((*path, fields.HOST_RULES, position), rule),
            )


def list_parts(rule: Entry) -> Iterator[Entry]:
    """List the weighted services of a rule."""
    for position, part in enumerate(rule.content.get(fields.RULE_SPLIT) or ()):
        yield Entry((*rule.path, fields.RULE_SPLIT, position), part)


def list_keys(document: Mapping[str, Any]) -> Iterator[tuple[str, Entry]]:
    """List the keys of all teams, each with the name of its team."""
    for path, team in list_entries(document, fields.TEAMS):
        for position, key in enumerate(team.get(fields.KEYS) or ()):
            yield (
                team[fields.ENTRY_NAME],
                Entry((*path, fields.KEYS, position), key),
            )

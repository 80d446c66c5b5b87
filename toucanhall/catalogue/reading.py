"""Reads catalogue documents; checks schema, then references of entries."""

import ipaddress
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from toucanhall import documents
from toucanhall.catalogue.model import (
    Catalogue,
    Drains,
    Key,
    Link,
    Revision,
    Route,
    Target,
    Team,
    Zone,
)
from toucanhall.catalogue.schema import SCHEMA
from toucanhall.documents import Document, Finding

__all__ = ('read', 'read_text', 'revise', 'revise_after')

_SLOTS_PER_ZONE: Final = 12
_HOLD_SECONDS: Final = 5.0
_KEY_HOLD_SECONDS: Final = 14400.0
_DEADLINE_SECONDS: Final = 10.0
_SHIFT_FRACTION_PER_SECOND: Final = 0.2
_FRACTION_TOLERANCE: Final = 1e-9
_EMPTY: Final[Document] = MappingProxyType({})
_TABLES: Final = ('zones', 'targets', 'teams', 'keys')


def read_text(text: str) -> Result[Catalogue, tuple[Finding, ...]]:
    """Parse and check the text of a catalogue, which may have comments."""
    return documents.parse(text).bind(read)


def read(
    document: Document,
    known: Document = _EMPTY,
) -> Result[Catalogue, tuple[Finding, ...]]:
    """Check a parsed document and return the catalogue.

    Entries that are identical in `known`, a document that is known to be
    valid, are not checked against the schema again.
    """
    return documents.check(_drop_known_entries(document, known), SCHEMA).bind(
        lambda _: _check_references(document),
    )


def revise(
    number: int,
    change: str,
    document: bytes,
    known: Document = _EMPTY,
) -> Result[Revision, tuple[Finding, ...]]:
    """Read the JSON document of an accepted revision.

    `known` is as in `read`.
    """
    try:
        parsed = msgspec.json.decode(document, type=dict)
    except msgspec.MsgspecError as error:
        return Failure((Finding('$', str(error), 'a JSON object'),))
    return read(parsed, known).map(
        lambda catalogue: Revision(number, change, document, catalogue),
    )


def revise_after(
    held: Revision | None,
    number: int,
    change: str,
    document: bytes,
) -> Result[Revision, tuple[Finding, ...]]:
    """Read a revision; do not check again the entries of the one held."""
    known = msgspec.json.decode(held.document) if held else _EMPTY
    return revise(number, change, document, known)


def _drop_known_entries(document: Document, known: Document) -> Document:
    changed = dict(document)
    for section in _TABLES:
        entries, before = document.get(section), known.get(section)
        if isinstance(entries, dict) and isinstance(before, dict):
            changed[section] = {
                name: entry
                for name, entry in entries.items()
                if name not in before or not _is_identical(before[name], entry)
            }
    return changed


def _is_identical(before: object, entry: object) -> bool:
    # 1, 1.0 and True are equal, but the schema tells them apart.
    return before == entry and repr(before) == repr(entry)


def _check_references(
    document: Document,
) -> Result[Catalogue, tuple[Finding, ...]]:
    findings = tuple(
        finding for check in _REFERENCE_CHECKS for finding in check(document)
    )
    if findings:
        return Failure(findings)
    return Success(_build(document))


def _check_targets(document: Document) -> Iterator[Finding]:
    for name, target in document['targets'].items():
        if target['zone'] not in document['zones']:
            yield Finding(
                f'$.targets.{name}.zone',
                repr(target['zone']),
                'a name in $.zones',
            )


def _check_routes(document: Document) -> Iterator[Finding]:
    services = {entry['service'] for entry in document['targets'].values()}
    paths: set[str] = set()
    for index, route in enumerate(document['routes']):
        where = f'$.routes[{index}]'
        if route['service'] not in services:
            yield Finding(
                f'{where}.service',
                repr(route['service']),
                'a service that some target runs',
            )
        if route['path'] in paths:
            yield Finding(f'{where}.path', repr(route['path']), 'a new path')
        paths.add(route['path'])


def _check_keys(document: Document) -> Iterator[Finding]:
    digests: dict[str, str] = {}
    for name, key in document.get('keys', {}).items():
        if key['team'] not in document['teams']:
            yield Finding(
                f'$.keys.{name}.team',
                repr(key['team']),
                'a name in $.teams',
            )
        other = digests.setdefault(key['digest'], name)
        if other != name:
            yield Finding(
                f'$.keys.{name}.digest',
                f'the digest of key {other!r}',
                'a digest of its own',
            )


def _check_fractions(document: Document) -> Iterator[Finding]:
    total = sum(zone['fraction'] for zone in document['zones'].values())
    if total > 1 + _FRACTION_TOLERANCE:
        yield Finding(
            '$.zones.*.fraction',
            f'a sum of {total:g}',
            'a sum of at most 1',
        )


def _check_links(document: Document) -> Iterator[Finding]:
    regions = {zone['region'] for zone in document['zones'].values()}
    for index, link in enumerate(document.get('links', ())):
        for region in sorted(set(link['regions']) - regions):
            yield Finding(
                f'$.links[{index}].regions',
                repr(region),
                'a region of some zone',
            )


def _check_drains(document: Document) -> Iterator[Finding]:
    drains = document.get('drains', {})
    for kind in ('targets', 'zones'):
        drained = set(drains.get(kind, ()))
        for name in sorted(drained.difference(document[kind])):
            yield Finding(
                f'$.drains.{kind}',
                repr(name),
                f'a name in $.{kind}; end its drain first',
            )


def _check_blocks(document: Document) -> Iterator[Finding]:
    for prefix, zone in document.get('blocks', {}).items():
        where = f'$.blocks.{prefix}'
        if zone not in document['zones']:
            yield Finding(where, repr(zone), 'a name in $.zones')
        try:
            ipaddress.ip_network(prefix)
        except ValueError as error:
            yield Finding(where, str(error), 'a prefix such as 10.0.0.0/8')


_REFERENCE_CHECKS: Final = (
    _check_targets,
    _check_routes,
    _check_keys,
    _check_fractions,
    _check_links,
    _check_drains,
    _check_blocks,
)


def _build(document: Document) -> Catalogue:
    drains = document.get('drains', {})
    return Catalogue(
        zones={
            name: Zone(name, **entry)
            for name, entry in document['zones'].items()
        },
        targets={
            name: Target(name, **entry)
            for name, entry in document['targets'].items()
        },
        routes=_build_routes(document),
        teams={
            name: Team(
                name, entry['rate'], entry['burst'], entry.get('weight', 1),
            )
            for name, entry in document['teams'].items()
        },
        keys={
            entry['digest']: Key(name, **entry)
            for name, entry in document.get('keys', {}).items()
        },
        links=tuple(
            Link(tuple(entry['regions']), entry['mbit_per_second'])
            for entry in document.get('links', ())
        ),
        drains=Drains(
            **{name: frozenset(entries) for name, entries in drains.items()},
        ),
        slots_per_zone=document.get('slots_per_zone', _SLOTS_PER_ZONE),
        hold_seconds=document.get('hold_seconds', _HOLD_SECONDS),
        key_hold_seconds=document.get('key_hold_seconds', _KEY_HOLD_SECONDS),
        blocks=document.get('blocks', {}),
        shift_share=document.get(
            'shift_share_per_second', _SHIFT_FRACTION_PER_SECOND,
        ),
    )  # fmt: skip


def _build_routes(document: Document) -> tuple[Route, ...]:
    routes = (
        Route(
            path=entry['path'],
            owner=entry['owner'],
            service=entry['service'],
            kind=entry['kind'],
            public=entry.get('public', False),
            deadline_seconds=entry.get('deadline_seconds', _DEADLINE_SECONDS),
        )
        for entry in document['routes']
    )
    return tuple(sorted(routes, key=lambda route: -len(route.path)))

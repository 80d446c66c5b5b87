"""Settings of an entry VM, read from a file and checked."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from toucanhall import documents
from toucanhall.documents import Document, Finding
from toucanhall.settingsschema import SCHEMA

__all__ = ('Bounds', 'Operator', 'Settings', 'load', 'read')


class Operator(NamedTuple):
    """An operator: SHA-256 digest of the token, and the role.

    `teams` and `routes` are those that an operator of role `owner` may change.
    """

    name: str
    digest: str
    role: str
    teams: frozenset[str] = frozenset()
    routes: frozenset[str] = frozenset()


class Bounds(NamedTuple):
    """Limits on requests, connections and threads that serve callers."""

    header_bytes: int = 16384
    body_bytes: int = 1048576
    idle_seconds: int = 20
    threads: int = 128
    linger_seconds: int = 6


class Settings(NamedTuple):
    """Settings of an entry VM from its file and its environment."""

    vm: str
    zone: str
    address: str
    caller_port: int
    peer_port: int
    platform: str
    secret: bytes
    operators: tuple[Operator, ...]
    statsd_host: str
    statsd_port: int
    bounds: Bounds
    log_level: str


def load(
    path: Path,
    environment: Mapping[str, str] = os.environ,
) -> Result[Settings, tuple[Finding, ...]]:
    """Read and check a settings file; a failure contains all errors."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error), 'a readable file'),))
    return read(text, environment)


def read(
    text: str,
    environment: Mapping[str, str],
) -> Result[Settings, tuple[Finding, ...]]:
    """Check the text of a settings file and return the settings."""
    return (
        documents.parse(text)
        .bind(lambda document: documents.check(document, SCHEMA))
        .bind(lambda document: _add_secret(document, environment))
    )


def _add_secret(
    document: Document,
    environment: Mapping[str, str],
) -> Result[Settings, tuple[Finding, ...]]:
    name = document['secret_variable']
    secret = environment.get(name, '')
    if not secret:
        finding = Finding(
            '$.secret_variable',
            f'no value in environment variable {name!r}',
            'the name of a variable that holds the secret of the fleet',
        )
        return Failure((finding,))
    return Success(_build_settings(document, secret.encode()))


def _build_settings(document: Document, secret: bytes) -> Settings:
    statsd: Mapping[str, Any] = document.get('statsd', {})
    return Settings(
        vm=document['vm'],
        zone=document['zone'],
        address=document['address'],
        caller_port=document['caller_port'],
        peer_port=document['peer_port'],
        platform=document['platform'],
        secret=secret,
        operators=tuple(map(_build_operator, document['operators'])),
        statsd_host=statsd.get('host', ''),
        statsd_port=statsd.get('port', 0),
        bounds=Bounds(**document.get('bounds', {})),
        log_level=document.get('log_level', 'info'),
    )


def _build_operator(entry: Document) -> Operator:
    return Operator(
        name=entry['name'],
        digest=entry['digest'],
        role=entry['role'],
        teams=frozenset(entry.get('teams', ())),
        routes=frozenset(entry.get('routes', ())),
    )

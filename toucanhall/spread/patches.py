"""Encodes a revision as a merge patch of the previous one (RFC 7386)."""

import hashlib
from collections.abc import Mapping
from typing import Any, Final, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from toucanhall.catalogue import Revision
from toucanhall.spread.messages import Delta

__all__ = ('apply_delta', 'canonicalise', 'find_delta', 'make_delta')

Document: TypeAlias = Mapping[str, Any]

_DIGEST_BYTES: Final = 16


def canonicalise(document: bytes) -> bytes:
    """Return a JSON document in the canonical form that patching produces."""
    try:
        parsed = msgspec.json.decode(document)
    except msgspec.MsgspecError:
        return document
    return msgspec.json.encode(parsed, order='sorted')


def make_delta(base: Revision, revision: Revision) -> Delta:
    """Return the message that turns a base into a revision."""
    patch = _diff(
        msgspec.json.decode(base.document),
        msgspec.json.decode(revision.document),
    )
    return Delta(
        number=revision.number,
        change=revision.change,
        base_number=base.number,
        base_change=base.change,
        patch=msgspec.json.encode(patch),
        digest=_digest(revision.document),
    )


def find_delta(base: Revision | None, revision: Revision) -> Delta | None:
    """Return the delta from a base, if it reproduces the same bytes.

    A document that is not in canonical form has no delta.
    """
    if base is None:
        return None
    delta = make_delta(base, revision)
    is_exact = isinstance(apply_delta(base, delta), Success)
    return delta if is_exact else None


def apply_delta(base: Revision, delta: Delta) -> Result[bytes, str]:
    """Return the document after a delta, verified by its digest."""
    if (base.number, base.change) != (delta.base_number, delta.base_change):
        return Failure(
            f'base is revision {base.number}, not {delta.base_number}'
        )
    patched = _merge(
        msgspec.json.decode(base.document),
        msgspec.json.decode(delta.patch),
    )
    document = msgspec.json.encode(patched, order='sorted')
    if _digest(document) != delta.digest:
        return Failure(f'digest of revision {delta.number} does not match')
    return Success(document)


def _diff(base: Document, wanted: Document) -> Document:
    removed = {name: None for name in base if name not in wanted}
    changed = {
        name: _diff_entry(base.get(name), entry)
        for name, entry in wanted.items()
        if name not in base or base[name] != entry
    }
    return removed | changed


def _diff_entry(base: Any, wanted: Any) -> Any:
    if isinstance(base, dict) and isinstance(wanted, dict):
        return _diff(base, wanted)
    return wanted


def _merge(base: Any, patch: Any) -> Any:
    if not isinstance(patch, dict):
        return patch
    merged = dict(base) if isinstance(base, dict) else {}
    for name, entry in patch.items():
        if entry is None:
            merged.pop(name, None)
        else:
            merged[name] = _merge(merged.get(name), entry)
    return merged


def _digest(document: bytes) -> bytes:
    return hashlib.blake2b(document, digest_size=_DIGEST_BYTES).digest()

"""Decodes and encodes the entries of suspected requests in the store."""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

from toucanhall.fleet.suspects import Crash, Suspect
from toucanhall.platform.documents import InvalidDocumentError
from toucanhall.platform.store_objects import UndecodableSpec
from toucanhall.platform.values import MAX_INTEGER

__all__ = ('decode_suspect', 'encode_suspect')

# A larger one can't be passed to other VMs.
_Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


class _Crash(msgspec.Struct):
    target: str
    started_at: _Integer
    release: str = ''


class _Suspect(msgspec.Struct):
    crashes: list[_Crash]
    trials: _Integer = 0
    tried_releases: list[str] = []
    served_releases: list[str] = []


def decode_suspect(name: str, spec: object, revision: int) -> Suspect:
    """Decode the entry of a request; raise InvalidDocumentError on failure."""
    try:
        entry = msgspec.convert(spec, _Suspect)
    except msgspec.ValidationError as error:
        why = spec.why if isinstance(spec, UndecodableSpec) else str(error)
        raise InvalidDocumentError(
            f'suspect {name} cannot be decoded: {why}'
        ) from error
    return Suspect(
        crashes=tuple(
            Crash(found.target, found.started_at, found.release)
            for found in entry.crashes
        ),
        trial_count=max(0, entry.trials),
        tried_releases=tuple(entry.tried_releases),
        served_releases=tuple(entry.served_releases),
        revision=revision,
    )


def encode_suspect(suspect: Suspect) -> Mapping[str, Any]:
    """Encode the entry of a request."""
    return {
        'crashes': [crash._asdict() for crash in suspect.crashes],
        'trials': suspect.trial_count,
        'tried_releases': suspect.tried_releases,
        'served_releases': suspect.served_releases,
    }

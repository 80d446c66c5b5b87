"""Records that the platform returns."""

from typing import Final, NamedTuple

__all__ = ('ABSENT', 'Listed', 'Stored')

ABSENT: Final = 0  # version of an object that does not exist


class Stored(NamedTuple):
    """An object of the store; `content` is empty if it is absent."""

    name: str
    version: int
    content: bytes


class Listed(NamedTuple):
    """A VM in the platform's list, which may be out of date."""

    vm: str
    zone: str
    address: str
    leaving: bool

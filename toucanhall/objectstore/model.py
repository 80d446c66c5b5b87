"""Records that the platform returns."""

from typing import Final, NamedTuple

__all__ = ('ABSENT', 'Listed', 'Stored')

ABSENT: Final = 0  # version to expect of an object that does not exist


class Stored(NamedTuple):
    """An object of the store; `content` is empty when it is absent."""

    name: str
    version: int
    content: bytes


class Listed(NamedTuple):
    """A VM as the platform lists it; the list lags behind the VMs."""

    vm: str
    zone: str
    address: str
    leaving: bool

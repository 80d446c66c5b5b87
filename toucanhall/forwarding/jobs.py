"""The state of the request path, and admitted requests."""

from typing import Final, NamedTuple

from toucanhall.catalogue import Catalogue, Holder, Route
from toucanhall.counters import Counters
from toucanhall.forwarding.credentials import Caller
from toucanhall.forwarding.dispatch import Dispatcher
from toucanhall.forwarding.records import Request
from toucanhall.forwarding.sharing import Sharing
from toucanhall.idempotency import Keeper
from toucanhall.shares import Ledger
from toucanhall.steering import Origin, Steerer
from toucanhall.transport.exchange import Identity

__all__ = ('RETRY_AFTER_SECONDS', 'Job', 'Parts')

RETRY_AFTER_SECONDS: Final = 1.0

_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


class Parts(NamedTuple):
    """The components that the request path uses."""

    identity: Identity
    zone: str
    holder: Holder
    ledger: Ledger
    steerer: Steerer
    sharing: Sharing
    keeper: Keeper
    dispatcher: Dispatcher
    counters: Counters


class Job(NamedTuple):
    """An admitted request with its caller, route and deadline.

    `is_retry` is true if another entry VM has tried the request before.
    """

    request: Request
    caller: Caller
    route: Route
    catalogue: Catalogue
    request_id: str
    give_up_at: float
    is_from_entry_vm: bool
    origin: Origin = Origin.CALLER
    is_retry: bool = False

    @property
    def is_safe(self) -> bool:
        """Whether the request may be sent more than once."""
        return self.request.method in _SAFE_METHODS

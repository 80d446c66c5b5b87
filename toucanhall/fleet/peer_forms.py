"""Which form of records the VM at each address reads."""

from collections.abc import Callable
from typing import Final, NamedTuple

from toucanhall.fleet.record_forms import CURRENT_FORM, FIRST_FORM

__all__ = ('PeerForms',)

# Reports of a delegate come each 3.2 s. A VM that was silent for longer may
# have been replaced by an earlier build.
_CURRENT_EXPIRY_SECONDS: Final = 4.0
# An earlier build that was silent for longer has gone.
_EARLIER_EXPIRY_SECONDS: Final = 60.0


class _Heard(NamedTuple):
    form: int
    at: float


class PeerForms:
    """The forms of the VMs that were heard lately, by their addresses.

    Of any other VM nothing is known: it gets the first form, which all builds
    read, with the whole record behind it. So do VMs of the current form while
    an earlier one is in sight: more may be replaced by it, also by a crash that
    nobody hears of before their first message.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without any VM."""
        self._clock = clock
        self._heard: dict[str, _Heard] = {}

    def record(self, ip: str, form: int) -> None:
        """Record the form that a VM reads, as its message shows it."""
        self._heard[ip] = _Heard(form, self._clock())

    def forget(self, ip: str) -> None:
        """Forget a VM that leaves: another build may come in its place."""
        self._heard.pop(ip, None)

    def get(self, ip: str) -> int:
        """Return the form to send to a VM."""
        heard = self._heard.get(ip)
        if heard is None or self._has_expired(heard):
            return FIRST_FORM
        if heard.form == CURRENT_FORM and self.count_earlier():
            return FIRST_FORM
        return heard.form

    def is_first(self, ip: str) -> bool:
        """Whether a VM is known to be of a build of the first form."""
        heard = self._heard.get(ip)
        return (
            heard is not None
            and heard.form == FIRST_FORM
            and not self._has_expired(heard)
        )

    def count_earlier(self) -> int:
        """Return how many VMs of earlier forms were heard lately."""
        return sum(
            heard.form < CURRENT_FORM and not self._has_expired(heard)
            for heard in self._heard.values()
        )

    def _has_expired(self, heard: _Heard) -> bool:
        age = self._clock() - heard.at
        if heard.form == CURRENT_FORM:
            return age > _CURRENT_EXPIRY_SECONDS
        return age > _EARLIER_EXPIRY_SECONDS

"""Bodies of answers that tell when they were read to their end."""

from collections.abc import Callable, Iterable, Iterator

__all__ = ('SettledBody', 'close_body')


class SettledBody:
    """A body that tells once whether it was read to its end."""

    def __init__(
        self,
        *,
        body: Iterable[bytes],
        settle: Callable[[bool], None],
    ) -> None:
        """Call `settle` with whether the whole body was read."""
        self._body = body
        self._settle: Callable[[bool], None] | None = settle

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body's parts."""
        yield from self._body
        self._tell(whole=True)

    def close(self) -> None:
        """Settle a body that was given up."""
        close_body(self._body)
        self._tell(whole=False)

    def _tell(self, *, whole: bool) -> None:
        settle = self._settle
        self._settle = None
        if settle is not None:
            settle(whole)


def close_body(body: object) -> None:
    """Close a body, if it is of a kind that can be closed."""
    close = getattr(body, 'close', None)
    if close is not None:
        close()

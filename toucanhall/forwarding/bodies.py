"""Bodies of answers that tell when they were read to their end."""

from collections.abc import Callable, Iterable, Iterator

__all__ = ('TrackedBody', 'close_body')


class TrackedBody:
    """A body that tells once whether it was read to its end."""

    def __init__(
        self,
        *,
        body: Iterable[bytes],
        on_end: Callable[[bool], None],
    ) -> None:
        """Call `on_end` with whether the whole body was read."""
        self._body = body
        self._on_end: Callable[[bool], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body's parts."""
        yield from self._body
        self._report_end(is_whole=True)

    def close(self) -> None:
        """Settle a body that was given up."""
        close_body(self._body)
        self._report_end(is_whole=False)

    def _report_end(self, *, is_whole: bool) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(is_whole)


def close_body(body: object) -> None:
    """Close a body, if it is of a kind that can be closed."""
    close = getattr(body, 'close', None)
    if close is not None:
        close()

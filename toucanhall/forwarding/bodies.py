"""Bodies of answers that report how reading them ended."""

from collections.abc import Callable, Iterable, Iterator

__all__ = ('TrackedBody', 'close_body')


class TrackedBody:
    """A body that reports once whether it was read to its end."""

    def __init__(
        self,
        *,
        body: Iterable[bytes],
        on_end: Callable[[bool], None],
    ) -> None:
        """Call `on_end` at the end with whether the whole body was read."""
        self._body = body
        self._on_end: Callable[[bool], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks of the body."""
        yield from self._body
        self._report_end(is_whole=True)

    def close(self) -> None:
        """Close the body and report it as incomplete, unless it has ended."""
        close_body(self._body)
        self._report_end(is_whole=False)

    def _report_end(self, *, is_whole: bool) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(is_whole)


def close_body(body: object) -> None:
    """Close a body if it has a `close` method."""
    close = getattr(body, 'close', None)
    if close is not None:
        close()

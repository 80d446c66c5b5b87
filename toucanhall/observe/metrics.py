"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections.abc import Callable, Iterable
from typing import Final

__all__ = ('Metrics',)

# Upper bounds of the buckets: from a fifth of the shortest objective of a route
# to the longest timeout of one.
_BOUNDS_SECONDS: Final = (
    0.03,
    0.06,
    0.12,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The metrics of a process, by name and labels."""

    def __init__(self) -> None:
        """Start with every counter at zero."""
        self._counters: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], list[float]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        found = self._histograms.get(key)
        if found is None:
            found = [0.0 for _bound in (*_BOUNDS_SECONDS, 'more', 'sum')]
            self._histograms[key] = found
        found[bisect_left(_BOUNDS_SECONDS, seconds)] += 1
        found[-1] += seconds

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Call `read` for the value each time the metrics are rendered."""
        self._gauges[name] = read

    def render(self) -> str:
        """Return all metrics in the text format."""
        return '\n'.join((*self._render_lines(), ''))

    def _render_lines(self) -> Iterable[str]:
        for (name, labels), total in sorted(self._counters.items()):
            yield f'toucanhall_{name}_total{_render(labels)} {total:g}'
        for name, read in sorted(self._gauges.items()):
            yield f'toucanhall_{name} {read():g}'
        for (name, labels), found in sorted(self._histograms.items()):
            full = f'toucanhall_{name}_seconds'
            total = 0.0
            # The sum, last in `found`, is left over: it has no bucket.
            for bound, count in zip(
                (*_BOUNDS_SECONDS, '+Inf'),
                found,
                strict=False,
            ):
                total += count
                le = (*labels, ('le', str(bound)))
                yield f'{full}_bucket{_render(le)} {total:g}'
            yield f'{full}_sum{_render(labels)} {found[-1]:g}'
            yield f'{full}_count{_render(labels)} {total:g}'


def _render(labels: Labels) -> str:
    if not labels:
        return ''
    inner = ','.join(f'{name}="{content}"' for name, content in labels)
    return f'{{{inner}}}'

"""Checks models and prints their size, time and counterexamples."""

import time

from minicheck import Protocol, check_safety

DEFAULT_MAX_STATES = 200_000


def explore(protocol: Protocol, max_states: int = DEFAULT_MAX_STATES) -> dict:
    """Check the invariants of a model; add the time that it took."""
    started = time.perf_counter()
    checked = check_safety(protocol, max_states=max_states)
    return {**checked, 'seconds': time.perf_counter() - started}


def report_model(name: str, checked: dict) -> None:
    """Print how many states of a model were explored, and the time."""
    size = f'{checked["reachable_states"]} states'
    report_size(name, size, checked['seconds'])


def report_size(name: str, size: str, seconds: float) -> None:
    """Print the size of a model and the time that it took."""
    print(f'model {name}: {size}, {seconds:.1f} s')


def report_variant(name: str, found: dict) -> None:
    """Print the length of the counterexample to a broken invariant, if any."""
    trace = found['counterexample']
    if trace:
        # The first entry is the initial state, which no step leads to.
        print(f'variant {name}: counterexample of {len(trace) - 1} steps')


def report_variants(name: str, checked: dict) -> None:
    """Print the length of each counterexample of a variant."""
    for invariant, found in checked['properties'].items():
        report_variant(f'{name} ({invariant})', found)


def list_broken(checked: dict) -> set:
    """Return the names of the invariants that do not hold."""
    return {
        name
        for name, found in checked['properties'].items()
        if not found['holds']
    }

"""Sends a change and waits until it is in force in every zone."""

import time
from argparse import Namespace
from collections.abc import Callable, Mapping
from typing import Any, Final

from returns.result import Result, Success

from toucanhall import runtime
from toucanhall.commands.api import Api, ApiError, Body, connect, print_failure
from toucanhall.commands.model import Console, ExitCode
from toucanhall.commands.printing import print_accepted

__all__ = ('make_change', 'wait_in_force')

_POLL_INTERVAL_SECONDS: Final = 0.25


def make_change(
    options: Namespace,
    console: Console,
    write: Callable[[Api], Result[Body, ApiError]],
    report: Callable[[Console, Namespace, Body], object] = print_accepted,
) -> int:
    """Send a change, print its result, and wait if `--wait` is given."""
    opened = connect(options)
    written = opened.bind(write)
    if not isinstance(written, Success):
        return print_failure(console, written.failure())
    body = written.unwrap()
    report(console, options, body)
    return wait_in_force(opened.unwrap(), options, console, body['accepted'])


def wait_in_force(
    api: Api,
    options: Namespace,
    console: Console,
    revision: int,
) -> int:
    """Wait until a revision is in force in every zone.

    Prints the zones that have not confirmed it within the time of `--wait`.
    """
    if options.wait is None:
        return ExitCode.DONE
    deadline = runtime.read_clock() + options.wait
    unconfirmed = _list_unconfirmed_zones(api, revision)
    while unconfirmed and runtime.read_clock() < deadline:
        time.sleep(_POLL_INTERVAL_SECONDS)
        unconfirmed = _list_unconfirmed_zones(api, revision)
    if not unconfirmed:
        if not options.json:
            console.print_line('in force in every zone')
        return ExitCode.DONE
    console.print_error(
        f'revision {revision} is accepted, but not confirmed after '
        f'{options.wait:g} s by: {", ".join(unconfirmed)}',
    )
    return ExitCode.UNKNOWN


def _list_unconfirmed_zones(api: Api, revision: int) -> list[str]:
    shown = api.read('status')
    if not isinstance(shown, Success):
        return ['(status cannot be read)']
    zones: Mapping[str, Any] = shown.unwrap()['zones']
    unconfirmed = [
        zone for zone, found in zones.items() if found['in_force'] < revision
    ]
    return unconfirmed if zones else ['(no catalogue is in force yet)']

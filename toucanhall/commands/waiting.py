"""Makes a change, and waits until it is in force in every availability zone."""

import time
from argparse import Namespace
from collections.abc import Callable, Mapping
from typing import Any, Final

from returns.result import Result, Success

from toucanhall import runtime
from toucanhall.commands.api import Api, ApiError, Body, connect, fail
from toucanhall.commands.model import Code, Console
from toucanhall.commands.printing import print_taken

__all__ = ('make_change', 'wait_in_force')

_PAUSE_SECONDS: Final = 0.25


def make_change(
    options: Namespace,
    console: Console,
    write: Callable[[Api], Result[Body, ApiError]],
    report: Callable[[Console, Namespace, Body], object] = print_taken,
) -> int:
    """Write a change, print what became of it, and wait if asked to."""
    opened = connect(options)
    written = opened.bind(write)
    if not isinstance(written, Success):
        return fail(console, written.failure())
    body = written.unwrap()
    report(console, options, body)
    return wait_in_force(opened.unwrap(), options, console, body['accepted'])


def wait_in_force(
    api: Api,
    options: Namespace,
    console: Console,
    revision: int,
) -> int:
    """Return once a revision is in force everywhere, or name the rest."""
    if options.wait is None:
        return Code.DONE
    deadline = runtime.read_clock() + options.wait
    lacking = _find_lacking(api, revision)
    while lacking and runtime.read_clock() < deadline:
        time.sleep(_PAUSE_SECONDS)
        lacking = _find_lacking(api, revision)
    if not lacking:
        if not options.json:
            console.say('in force in every zone')
        return Code.DONE
    console.complain(
        f'revision {revision} is accepted, but not confirmed after '
        f'{options.wait:g} s by: {", ".join(lacking)}',
    )
    return Code.UNKNOWN


def _find_lacking(api: Api, revision: int) -> list[str]:
    shown = api.read('status')
    if not isinstance(shown, Success):
        return ['(status cannot be read)']
    zones: Mapping[str, Any] = shown.unwrap()['zones']
    lacking = [
        zone for zone, found in zones.items() if found['in_force'] < revision
    ]
    return lacking if zones else ['(no catalogue is in force yet)']

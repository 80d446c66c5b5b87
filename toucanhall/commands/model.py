"""Subcommands, exit codes, output and shared arguments."""

import enum
import os
from argparse import Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple, TextIO

__all__ = (
    'AT_EXAMPLE',
    'AT_VARIABLE',
    'Argument',
    'ExitCode',
    'Command',
    'Console',
    'TOKEN_VARIABLE',
)

TOKEN_VARIABLE: Final = 'TOUCANHALL_TOKEN'
AT_VARIABLE: Final = 'TOUCANHALL_AT'
AT_EXAMPLE: Final = '--at http://127.0.1.1:8080'


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    DONE = 0
    REFUSED = 1
    INVALID_INPUT = 2
    UNKNOWN = 3


class Console(NamedTuple):
    """Streams for results and errors."""

    out: TextIO
    err: TextIO

    def print_line(self, text: str) -> None:
        """Print a line of the result to standard output."""
        print(text, file=self.out)

    def print_error(self, text: str) -> None:
        """Print an error to standard error."""
        print(f'toucanhall: {text}', file=self.err)


class Argument(NamedTuple):
    """Arguments of an `add_argument` call of argparse."""

    flag: str
    keywords: dict[str, Any]


class Command(NamedTuple):
    """A subcommand: its words, arguments, and the function that runs it.

    `alias` is an older name; it is not listed and always prints JSON.
    """

    words: tuple[str, ...]
    summary: str
    example: str
    arguments: tuple[Argument, ...]
    run: Callable[[Namespace, Console], int]
    alias: str = ''


def _list_environment_urls() -> list[str]:
    return [url for url in os.environ.get(AT_VARIABLE, '').split(',') if url]


FILE: Final = Argument('file', {'type': Path, 'help': 'the file to read'})
AT: Final = Argument(
    '--at',
    {
        'action': 'append',
        'metavar': 'URL',
        'help': 'URL of an entry VM; may be repeated, the next one is tried '
        'when one cannot be reached; the default is the comma-separated '
        f'list in {AT_VARIABLE}',
    },
)
JSON: Final = Argument(
    '--json',
    {'action': 'store_true', 'help': 'print JSON for scripts'},
)
WAIT: Final = Argument(
    '--wait',
    {
        'type': float,
        'metavar': 'SECONDS',
        'help': 'wait until the change is in force in every zone; after so '
        'many seconds, name the zones that have not confirmed it',
    },
)


def get_base_urls(options: Namespace) -> list[str]:
    """Return the URLs of the entry VMs to call, in order."""
    urls: list[str] = options.at or _list_environment_urls()
    return [url.rstrip('/') for url in urls]

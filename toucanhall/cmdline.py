"""The command line: a parser built from the table of subcommands."""

import argparse
import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from functools import partial
from typing import Any, Final, TypeAlias

from toucanhall import __version__
from toucanhall.commands import COMMANDS, GROUPS, Command, Console

__all__ = ('make_parser', 'run')

_EPILOG: Final = """exit codes:
  0  success
  1  rejected by the entry VM; nothing was changed
  2  invalid command, settings or document
  3  no entry VM could be reached, the outcome is unknown, or a change was
     accepted but is not in force in every zone yet
  of check: 0 no findings, 1 warnings only, 2 errors, 3 a file is not readable

environment:
  TOUCANHALL_TOKEN  the operator's token
  TOUCANHALL_AT     URLs of entry VMs, comma-separated, when --at is not given
"""

_HELP_WIDTH_CHARACTERS: Final = 80
_HELP_TEXT_COLUMN: Final = 24

Subparsers: TypeAlias = Any


def run(arguments: Sequence[str]) -> int:
    """Parse the arguments, run the subcommand and return the exit code."""
    options = make_parser().parse_args(arguments)
    command: Command = options.command
    return command.run(options, Console(sys.stdout, sys.stderr))


def make_parser() -> ArgumentParser:
    """Return the parser of all subcommands and their aliases."""
    parser = ArgumentParser(
        prog='toucanhall',
        description='Global traffic steering for small fleets of entry VMs.',
        epilog=_EPILOG,
        formatter_class=_make_formatter,
    )
    parser.add_argument('--version', action='version', version=__version__)
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    groups = {
        name: _add_group(subparsers, name, summary)
        for name, summary in GROUPS.items()
    }
    for command in COMMANDS:
        parent = groups[command.words[0]] if command.words[1:] else subparsers
        _add_command(parent, command.words[-1], command, help=command.summary)
        if command.alias:
            alias = _add_command(subparsers, command.alias, command)
            alias.set_defaults(json=True)
    return parser


def _add_group(
    subparsers: Subparsers,
    name: str,
    summary: str,
) -> Subparsers:
    group = subparsers.add_parser(
        name,
        help=summary,
        description=summary,
        formatter_class=_make_formatter,
    )
    return group.add_subparsers(required=True, metavar='COMMAND')


def _add_command(
    subparsers: Subparsers,
    name: str,
    command: Command,
    **help_options: str,
) -> ArgumentParser:
    parser: ArgumentParser = subparsers.add_parser(
        name,
        description=command.summary,
        epilog=f'example:\n  toucanhall {command.example}',
        formatter_class=_make_formatter,
        **help_options,
    )
    for flag, keywords in command.arguments:
        parser.add_argument(flag, **keywords)
    parser.set_defaults(command=command)
    return parser


_make_formatter: Final = partial(
    argparse.RawDescriptionHelpFormatter,
    width=_HELP_WIDTH_CHARACTERS,
    max_help_position=_HELP_TEXT_COLUMN,
)

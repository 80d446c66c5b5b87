"""The command line: one table of subcommands."""

import argparse
import sys
from collections.abc import Sequence
from typing import Final

from toucanhall import __version__, commands

__all__ = ('run',)

EXIT_CODES: Final = """exit codes:
  0  done
  1  refused by the system; nothing was changed
  2  the command, the settings or the document is wrong
  3  no entry VM could be reached, or the outcome is not known
"""


def run(arguments: Sequence[str]) -> int:
    """Parse the arguments, run the subcommand and return the exit code."""
    options = _make_parser().parse_args(arguments)
    command: commands.Command = options.command
    return command.run(options, sys.stdout)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='toucanhall',
        description='Global traffic steering for small fleets of entry VMs.',
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--version', action='version', version=__version__)
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in commands.COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.summary,
            description=command.summary,
            epilog=f'example: toucanhall {command.example}',
        )
        for flag, keywords in command.arguments:
            subparser.add_argument(flag, **keywords)
        subparser.set_defaults(command=command)
    return parser

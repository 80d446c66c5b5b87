"""Subcommands that read log files of VMs."""

from argparse import Namespace
from itertools import chain
from pathlib import Path
from typing import Final

from toucanhall.commands.model import Argument, Command, Console, ExitCode
from toucanhall.observe.log_lines import (
    Line,
    count_reasons,
    explain,
    read_lines,
)
from toucanhall.observe.refusal_causes import count_refusal_causes

__all__ = ('COMMANDS',)


def explain_request(options: Namespace, console: Console) -> int:
    """Print the log lines of a request, and the state its VMs logged."""
    lines = _read(options.files, console)
    if lines is None:
        return ExitCode.INVALID_INPUT
    for text in explain(lines, options.request):
        console.print_line(text)
    return ExitCode.DONE


def report_reasons(options: Namespace, console: Console) -> int:
    """Print how often each event and reason occurs in log files."""
    lines = _read(options.files, console)
    if lines is None:
        return ExitCode.INVALID_INPUT
    for text in chain(count_reasons(lines), count_refusal_causes(lines)):
        console.print_line(text)
    return ExitCode.DONE


def _read(files: list[Path], console: Console) -> list[Line] | None:
    try:
        texts = [file.read_text(errors='replace') for file in files]
    except OSError as error:
        console.print_error(f'{error.filename}: {error.strerror}')
        return None
    return read_lines(line for text in texts for line in text.splitlines())


_FILES: Final = Argument(
    'files',
    {
        'nargs': '+',
        'type': Path,
        'metavar': 'FILE',
        'help': 'log files of one or more VMs',
    },
)

COMMANDS: Final = (
    Command(
        ('explain',),
        'explain what happened to a request, from log files',
        'explain 9c41d07be2a35f68 vm-1.log vm-2.log',
        (
            Argument('request', {'help': 'the id of the request'}),
            _FILES,
        ),
        explain_request,
    ),
    Command(
        ('report',),
        'count events and reasons in log files',
        'report vm-1.log vm-2.log',
        (_FILES,),
        report_reasons,
    ),
)

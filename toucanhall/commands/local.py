"""Subcommands that call no entry VM: run one, and check its settings."""

from argparse import Namespace
from pathlib import Path
from typing import Final

from returns.result import Success

from toucanhall import events, settings
from toucanhall.commands.model import FILE, Argument, Command, Console, ExitCode
from toucanhall.commands.printing import print_findings
from toucanhall.entry import Entry

__all__ = ('COMMANDS',)


def run_entry(options: Namespace, console: Console) -> int:
    """Run an entry VM until SIGTERM or SIGINT."""
    loaded = settings.load(options.settings)
    if not isinstance(loaded, Success):
        return print_findings(console, options.settings, loaded.failure())
    found = loaded.unwrap()
    events.configure(found.log_level, found.vm)
    Entry(settings=found).run()
    return ExitCode.DONE


def check_settings(options: Namespace, console: Console) -> int:
    """Check a settings file without starting the entry VM."""
    loaded = settings.load(options.file)
    if not isinstance(loaded, Success):
        return print_findings(console, options.file, loaded.failure())
    console.print_line(f'{options.file}: settings are valid')
    return ExitCode.DONE


COMMANDS: Final = (
    Command(
        ('entry',),
        'run an entry VM until SIGTERM',
        'entry --settings vm.jsonc',
        (
            Argument(
                '--settings',
                {
                    'type': Path,
                    'required': True,
                    'metavar': 'FILE',
                    'help': 'the settings file of this VM',
                },
            ),
        ),
        run_entry,
    ),
    Command(
        ('check-settings',),
        'check a settings file without starting the entry VM',
        'check-settings vm.jsonc',
        (FILE,),
        check_settings,
    ),
)

"""Tests of the parser: subcommands, aliases, help and exit codes."""

import pytest

from toucanhall import cmdline
from toucanhall.commands import COMMANDS

AT = ['--at', 'http://127.0.0.1:1']


@pytest.mark.parametrize('command', COMMANDS, ids=lambda entry: entry.example)
def test_example_of_each_subcommand_is_parsed(command):
    options = cmdline.make_parser().parse_args(command.example.split())
    assert options.command is command


@pytest.mark.parametrize('command', COMMANDS, ids=lambda entry: entry.example)
def test_help_shows_the_example(command, capsys):
    with pytest.raises(SystemExit) as ended:
        cmdline.run([*command.words, '--help'])
    assert ended.value.code == 0
    assert f'toucanhall {command.example}' in capsys.readouterr().out


def test_aliases_print_json_and_are_not_listed(capsys):
    parser = cmdline.make_parser()
    options = parser.parse_args(['key-grant', 'a', '--team=b', *AT])
    assert options.json is True
    assert options.command.words == ('key', 'grant')
    assert 'key-grant' not in parser.format_help()


def test_invalid_usage_exits_two(capsys):
    with pytest.raises(SystemExit) as ended:
        cmdline.run(['drain', 'start', 'rack', 'r1', *AT])
    assert ended.value.code == 2

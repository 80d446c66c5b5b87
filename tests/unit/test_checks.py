"""Tests of what passes over known red tests."""

from subprocess import CompletedProcess

from tests import checks

RED = 'FAILED tests/unit/test_x.py::test_a - AssertionError'


def make_run(code, output=''):
    """Return a test run that ended with a code."""
    return CompletedProcess((), code, stdout=output)


def test_only_known_red_tests_are_passed_over(monkeypatch):
    runs = [make_run(0), make_run(1, RED)]
    assert not checks.report_runs('tests/unit', runs)
    known = {'tests/unit/test_x.py::test_a'}
    monkeypatch.setattr(checks, 'read_known_red', lambda: known)
    assert checks.report_runs('tests/unit', runs)
    other = make_run(1, RED.replace('test_a', 'test_b'))
    assert not checks.report_runs('tests/unit', [*runs, other])


def test_end_of_a_run_repeats_what_failed(monkeypatch, capsys):
    known_red = f'{RED}\nE       assert 1 == 2\n'
    failing = {
        'slow': lambda: checks.report_runs('x', [make_run(1, known_red)])
    }
    monkeypatch.setattr(checks, 'CHECKS', failing)
    monkeypatch.setattr(checks, 'reasons', [])
    assert checks.main(['slow']) == 1
    end = capsys.readouterr().out.rpartition('== failed in x')[2]
    assert RED in end
    assert 'assert 1 == 2' in end


def test_run_that_broke_off_does_not_pass():
    assert not checks.report_runs('tests/unit', [make_run(2)])
    assert not checks.report_runs('tests/unit', [make_run(5)])
    assert not checks.report_runs('tests/unit', [make_run(1)])

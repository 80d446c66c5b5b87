"""Runs the checks in order: format, lint, types, tests, models, features."""

import re
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

_ROOT: Final = Path(__file__).parent.parent
_SOURCES: Final = ('toucanhall', 'standins', 'benches', 'release', 'tests')
_FAILED: Final = re.compile(r'^(?:FAILED|ERROR) (\S+)', re.MULTILINE)


def run_tool(*arguments: str) -> Callable[[], bool]:
    """Return a check that runs a tool and passes when it exits with 0."""

    def check() -> bool:
        done = subprocess.run((sys.executable, '-m', *arguments), cwd=_ROOT)
        return done.returncode == 0

    return check


def run_tests(*arguments: str) -> Callable[[], bool]:
    """Return a check that runs pytest and passes over known red tests."""

    def check() -> bool:
        done = subprocess.run(
            (
                sys.executable,
                '-m',
                'pytest',
                '-rfE',
                '-p',
                'no:cacheprovider',
                *arguments,
            ),
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        print(done.stdout, flush=True)
        failed = set(_FAILED.findall(done.stdout))
        known = read_known_red()
        for test in sorted(known & failed):
            print(f'known red: {test}')
        for test in sorted(known - failed):
            print(f'known red, but green now: {test}')
        if done.returncode == 0:
            return True
        return done.returncode == 1 and bool(failed) and failed <= known

    return check


def read_known_red() -> set[str]:
    """Return the test ids of KNOWN-RED.txt."""
    lines = (_ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    return {
        line.split('|')[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    }


CHECKS: Final = {
    'format': run_tool('ruff', 'format', '--check', *_SOURCES),
    'lint': run_tool('flake8', *_SOURCES),
    'types': run_tool('mypy', 'toucanhall', 'standins', 'benches', 'release'),
    'tests': run_tests('tests/unit'),
    # P shows what passed tests printed: states, times, counterexamples.
    'models': run_tests('-rfEP', 'tests/models'),
    'processes': run_tests('tests/processes'),
    'features': run_tool('behave', '--format=progress', 'tests/features'),
}


def main(names: Sequence[str]) -> int:
    """Run the named checks, or all; return 1 when one failed."""
    unknown = set(names) - CHECKS.keys()
    if unknown:
        print(f'unknown checks {sorted(unknown)}; known: {list(CHECKS)}')
        return 2
    failed = []
    for name in names or CHECKS:
        print(f'== {name}', flush=True)
        if not CHECKS[name]():
            failed.append(name)
    passed = len(names or CHECKS) - len(failed)
    print(f'failed checks: {failed}' if failed else 'all checks passed')
    print(f'checks: {passed} passed, {len(failed)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

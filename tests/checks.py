"""Runs the checks in order and ends with the tests that failed."""

import re
import subprocess
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final

_ROOT: Final = Path(__file__).parent.parent
_SOURCES: Final = ('toucanhall', 'standins', 'benches', 'release', 'tests')
_WORKERS: Final = 4  # fleets that run side by side
_FAILED: Final = re.compile(r'^(?:FAILED|ERROR) (\S+)', re.MULTILINE)
_REASONS: Final = re.compile(r'^(?:FAILED|ERROR) .*|^E  .*', re.MULTILINE)
_MOST_REASONS: Final = 40  # lines that the end of a run repeats, a check


def run_tool(*arguments: str) -> Callable[[], bool]:
    """Return a check that runs a tool and passes when it exits with 0."""

    def check() -> bool:
        done = subprocess.run((sys.executable, '-m', *arguments), cwd=_ROOT)
        return done.returncode == 0

    return check


def run_tests(
    folder: str,
    report: str = '-rfE',
    workers: int = 1,
) -> Callable[[], bool]:
    """Return a check that runs pytest and passes over known red tests.

    With several workers the modules of the folder run side by side.
    """

    def check() -> bool:
        modules = sorted(str(path) for path in Path(folder).glob('test_*.py'))
        runs = [(folder,)] if workers == 1 else [(name,) for name in modules]
        with ThreadPoolExecutor(workers) as pool:
            done = list(pool.map(partial(run_pytest, report), runs))
        return report_runs(folder, done)

    return check


def run_pytest(
    report: str,
    targets: tuple[str, ...],
) -> subprocess.CompletedProcess[str]:
    """Run some tests and keep what they print."""
    return subprocess.run(
        (
            sys.executable,
            '-m',
            'pytest',
            report,
            '-p',
            'no:cacheprovider',
            *targets,
        ),
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )


def report_runs(
    folder: str, done: list[subprocess.CompletedProcess[str]]
) -> bool:
    """Print what ran; return whether all passed but known red tests."""
    output = '\n'.join(run.stdout for run in done)
    print(output, flush=True)
    failed = set(_FAILED.findall(output))
    if failed:
        reasons.append((folder, _REASONS.findall(output)[-_MOST_REASONS:]))
    known = {test for test in read_known_red() if test.startswith(folder)}
    for test in sorted(known & failed):
        print(f'known red: {test}')
    for test in sorted(known - failed):
        print(f'known red, but green now: {test}')
    codes = {run.returncode for run in done}
    return (
        codes <= {0, 1} and (codes == {0} or bool(failed)) and failed <= known
    )


def read_known_red() -> set[str]:
    """Return the test ids of KNOWN-RED.txt."""
    lines = (_ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    return {
        line.split('|')[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    }


# The end of a run repeats these: a log may be kept without its middle.
reasons: Final[list[tuple[str, list[str]]]] = []

CHECKS: Final = {
    'format': run_tool('ruff', 'format', '--check', *_SOURCES),
    'lint': run_tool('flake8', *_SOURCES),
    'types': run_tool('mypy', 'toucanhall', 'standins', 'benches', 'release'),
    'tests': run_tests('tests/unit'),
    # P shows what passed tests printed: states, times, counterexamples.
    'models': run_tests('tests/models', report='-rfEP'),
    'processes': run_tests('tests/processes', workers=_WORKERS),
    'soak': run_tool(
        'standins.soak', '--seed', '1', '--seconds', '12', '--regressions'
    ),
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
    for folder, lines in reasons:
        print(f'== failed in {folder}', *lines, sep='\n')
    print(f'failed checks: {failed}' if failed else 'all checks passed')
    print(f'checks: {passed} passed, {len(failed)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

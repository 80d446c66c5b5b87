"""Tests that the built file runs alone, in one process, and where it writes."""

import json
import subprocess
import sys
from pathlib import Path
from urllib.request import urlopen

import pytest

from standins.fleet import Fleet, wait_until

ROOT = Path(__file__).parents[2]
# Runs a file and reports to standard error the processes that it starts and
# the paths that it writes to.
AUDIT_SCRIPT = r"""
import os, runpy, sys
STARTS = ('subprocess.Popen', 'os.fork', 'os.forkpty', 'os.posix_spawn',
          'os.spawn', 'os.exec', 'os.system', 'pty.spawn')
WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT
def watch(event, args):
    if event in STARTS:
        os.write(2, b'STARTED ' + event.encode() + b'\n')
    elif event == 'open' and args[2] and args[2] & WRITES:
        os.write(2, b'WROTE ' + os.fsencode(args[0]) + b'\n')
    elif event in ('os.mkdir', 'os.rename', 'os.symlink'):
        os.write(2, b'WROTE ' + os.fsencode(args[0]) + b'\n')
sys.addaudithook(watch)
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name='__main__')
"""


@pytest.fixture(scope='module', name='binary')
def build_binary() -> Path:
    """Build the executable file and return its path."""
    subprocess.run((ROOT / 'build',), check=True, timeout=120)
    return ROOT / 'dist' / 'toucanhall'


@pytest.fixture(name='fleet')
def start_platform():
    """Prepare a fleet of which only the platform runs."""
    fleet = Fleet(catalogue=ROOT / 'examples' / 'bench.jsonc')
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.stop()


def is_answering(url):
    """Return whether a VM answers.

    The connection is closed, since an open one would delay the stop.
    """
    try:
        with urlopen(f'{url}/.toucanhall/health', timeout=2) as answer:
            return answer.status == 200
    except OSError:
        return False


def test_runs_from_an_empty_folder(binary, tmp_path):
    folder = tmp_path / 'empty'
    folder.mkdir()
    done = subprocess.run(
        (sys.executable, '-I', binary, '--version'),
        cwd=folder,
        env={'TMPDIR': str(tmp_path)},
        capture_output=True,
        check=True,
        text=True,
        timeout=60,
    )
    assert done.stdout == '0.1.0\n'
    assert not list(folder.iterdir())


def test_other_python_version_is_refused(binary, tmp_path):
    done = subprocess.run(
        (
            sys.executable,
            '-I',
            '-c',
            'import runpy, sysconfig, sys;'
            'sysconfig.get_python_version = lambda: "3.99";'
            'runpy.run_path(sys.argv[1], run_name="__main__")',
            binary,
        ),
        capture_output=True,
        check=False,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert 'run by 3.99' in done.stderr


def test_entry_vm_is_one_process_and_writes_only_temporary_files(
    binary, fleet, tmp_path,
):  # fmt: skip
    vm = fleet.vms[0]
    settings = fleet.folder / 'vm.jsonc'
    settings.write_text(json.dumps(fleet.make_settings(vm)))
    temporary, empty = tmp_path / 'temporary', tmp_path / 'empty'
    temporary.mkdir()
    empty.mkdir()
    log = fleet.folder / 'binary.log'
    with log.open('wb') as output:
        process = subprocess.Popen(
            (
                sys.executable,
                '-I',
                '-c',
                AUDIT_SCRIPT,
                binary,
                'entry',
                f'--settings={settings}',
            ),
            cwd=empty,
            env={'TMPDIR': str(temporary), 'TOUCANHALL_SECRET': 'secret'},
            stderr=output,
        )
    fleet.processes['binary'] = process
    wait_until(lambda: is_answering(vm.url), 'binary up')
    children = Path(f'/proc/{process.pid}/task').glob('*/children')
    assert not ''.join(path.read_text() for path in children)
    process.terminate()
    assert process.wait(30) == 0
    lines = log.read_text().splitlines()
    assert 'STARTED' not in log.read_text()
    written_paths = [
        Path(line[6:]) for line in lines if line.startswith('WROTE')
    ]
    assert written_paths
    # A file without a name (O_TMPFILE) is opened by the path of its folder.
    paths_outside = [
        path for path in written_paths if temporary not in {path, path.parent}
    ]
    assert not paths_outside
    leftovers = [*temporary.iterdir(), *empty.iterdir()]
    assert not leftovers

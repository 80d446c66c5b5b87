"""Memory of a process: the interpreter, the libraries, and control itself."""

import argparse
import json
import subprocess
import sys
from collections.abc import Sequence
from typing import Final

_STEPS: Final = (
    ('interpreter', ''),
    ('http', 'import waitress, urllib3'),
    ('pynng', 'import pynng'),
    ('codec', 'import msgspec, xxhash'),
    ('actors', 'import pykka, returns.result, statsd'),
    ('logs', 'import pythonjsonlogger.json'),
    ('checks', 'import json5, jsonschema'),
    ('toucanhall', 'import toucanhall.entry'),
)
_REPORT: Final = (
    'lines = open("/proc/self/status").read().splitlines()\n'
    'fields = dict(line.split(":", 1) for line in lines)\n'
    'print(*(fields[name].split()[0] for name in ("VmRSS", "RssAnon")))\n'
)


def main(arguments: Sequence[str]) -> int:
    """Print what each group of imports adds, in KiB."""
    argparse.ArgumentParser(prog='bench footprint').parse_args(arguments)
    code = ''
    before = (0, 0)
    grown = {}
    for name, line in _STEPS:
        code += f'{line}\n'
        done = subprocess.run(
            (sys.executable, '-c', code + _REPORT),
            capture_output=True,
            text=True,
            check=True,
        )
        resident, private = (int(text) for text in done.stdout.split())
        grown[name] = {
            'resident_kib': resident - before[0],
            'private_kib': private - before[1],
        }
        print(f'{name:<12} +{resident - before[0]:>6} KiB resident, '
              f'+{private - before[1]:>6} KiB private')  # fmt: skip
        before = (resident, private)
    print(json.dumps({'total_resident_kib': before[0], 'grown': grown}))
    return 0

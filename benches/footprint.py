"""Memory of a process: the interpreter, the libraries and toucanhall."""

import argparse
import json
import subprocess
import sys
from collections.abc import Sequence
from typing import Final

_IMPORT_STEPS: Final = (
    ('interpreter', ''),
    ('http', 'import waitress, urllib3'),
    ('pynng', 'import pynng'),
    ('codec', 'import msgspec, xxhash'),
    ('actors', 'import pykka, returns.result, statsd'),
    ('logs', 'import pythonjsonlogger.json'),
    ('checks', 'import json5, jsonschema'),
    ('toucanhall', 'import toucanhall.entry'),
)
_MEMORY_REPORT_CODE: Final = (
    'lines = open("/proc/self/status").read().splitlines()\n'
    'fields = dict(line.split(":", 1) for line in lines)\n'
    'print(*(fields[name].split()[0] for name in ("VmRSS", "RssAnon")))\n'
)


def main(arguments: Sequence[str]) -> int:
    """Print the memory that each group of imports adds, in KiB."""
    argparse.ArgumentParser(prog='bench footprint').parse_args(arguments)
    code = ''
    previous = (0, 0)
    increases = {}
    for name, import_line in _IMPORT_STEPS:
        code += f'{import_line}\n'
        completed = subprocess.run(
            (sys.executable, '-c', code + _MEMORY_REPORT_CODE),
            capture_output=True,
            text=True,
            check=True,
        )
        resident, private = (int(text) for text in completed.stdout.split())
        increases[name] = {
            'resident_kib': resident - previous[0],
            'private_kib': private - previous[1],
        }
        print(f'{name:<12} +{resident - previous[0]:>6} KiB resident, '
              f'+{private - previous[1]:>6} KiB private')  # fmt: skip
        previous = (resident, private)
    print(json.dumps({'total_resident_kib': previous[0], 'grown': increases}))
    return 0

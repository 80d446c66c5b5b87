"""Builds dist/toucanhall: one archive that Python runs."""

import py_compile
import stat
import sysconfig
import tomllib
import zipapp
from collections.abc import Iterator
from importlib import metadata
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final, NamedTuple

from packaging.requirements import Requirement

from release.boot import VERSION_ENTRY

_ROOT: Final = Path(__file__).parent.parent
_TARGET: Final = _ROOT / 'dist' / 'toucanhall'
_SKIPPED: Final = frozenset(('__pycache__', 'bin', '..'))
_BYTES_PER_MB: Final = 1000000


class Part(NamedTuple):
    """A file of the archive: where it is and what it is called there."""

    path: Path
    name: str


def build() -> Path:
    """Build the archive from the environment and return its path."""
    version = sysconfig.get_python_version()
    with TemporaryDirectory() as folder:
        stage = Path(folder)
        for part in _list_parts():
            _place(part, stage)
        (stage / VERSION_ENTRY).write_text(version)
        _TARGET.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            stage,
            _TARGET,
            interpreter=f'/usr/bin/env python{version}',
            compressed=True,
        )
    _TARGET.chmod(_TARGET.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP)
    return _TARGET


def _list_parts() -> Iterator[Part]:
    yield Part(_ROOT / 'release' / 'boot.py', '__main__.py')
    for path in sorted((_ROOT / 'toucanhall').rglob('*.py')):
        yield Part(path, str(path.relative_to(_ROOT)))
    for name in _list_packages():
        yield from _list_files(name)


def _list_packages() -> list[str]:
    project = tomllib.loads((_ROOT / 'pyproject.toml').read_text())
    waiting = list(project['project']['dependencies'])
    found: set[str] = set()
    while waiting:
        requirement = Requirement(waiting.pop())
        marker = requirement.marker
        if marker is not None and not marker.evaluate({'extra': ''}):
            continue
        if requirement.name in found:
            continue
        found.add(requirement.name)
        needs = metadata.requires(requirement.name)
        waiting.extend(needs or ())
    return sorted(found)


def _list_files(package: str) -> Iterator[Part]:
    for file in metadata.files(package) or ():
        if _SKIPPED.isdisjoint(file.parts):
            yield Part(Path(str(file.locate())), str(file))


def _place(part: Part, stage: Path) -> None:
    placed = stage / part.name
    placed.parent.mkdir(parents=True, exist_ok=True)
    placed.write_bytes(part.path.read_bytes())
    if placed.suffix == '.py' and part.name != '__main__.py':
        _compile(placed, part.name)


def _compile(placed: Path, name: str) -> None:
    """Put bytecode beside a module, so that no start compiles it again."""
    py_compile.compile(
        str(placed),
        cfile=str(placed.with_suffix('.pyc')),
        dfile=name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def main() -> None:
    """Build and print the path and the size."""
    target = build()
    size = target.stat().st_size / _BYTES_PER_MB
    print(f'{target.relative_to(_ROOT)}: {size:.1f} MB')


if __name__ == '__main__':
    main()

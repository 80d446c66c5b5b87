"""Builds dist/toucanhall, an executable zip archive of Python modules."""

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
_ARCHIVE_PATH: Final = _ROOT / 'dist' / 'toucanhall'
_EXCLUDED_PATH_PARTS: Final = frozenset(('__pycache__', 'bin', '..'))
_BYTES_PER_MB: Final = 1000000


class ArchiveEntry(NamedTuple):
    """A file to add to the archive: its source path and its archive name."""

    path: Path
    name: str


def build() -> Path:
    """Build the archive from the installed packages; return its path."""
    version = sysconfig.get_python_version()
    with TemporaryDirectory() as directory:
        staging_path = Path(directory)
        for entry in _list_entries():
            _stage_entry(entry, staging_path)
        (staging_path / VERSION_ENTRY).write_text(version)
        _ARCHIVE_PATH.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            staging_path,
            _ARCHIVE_PATH,
            interpreter=f'/usr/bin/env python{version}',
            compressed=True,
        )
    _ARCHIVE_PATH.chmod(
        _ARCHIVE_PATH.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP
    )
    return _ARCHIVE_PATH


def _list_entries() -> Iterator[ArchiveEntry]:
    yield ArchiveEntry(_ROOT / 'release' / 'boot.py', '__main__.py')
    for path in sorted((_ROOT / 'toucanhall').rglob('*.py')):
        yield ArchiveEntry(path, str(path.relative_to(_ROOT)))
    for name in _list_packages():
        yield from _list_package_entries(name)


def _list_packages() -> list[str]:
    project = tomllib.loads((_ROOT / 'pyproject.toml').read_text())
    pending = list(project['project']['dependencies'])
    package_names: set[str] = set()
    while pending:
        requirement = Requirement(pending.pop())
        marker = requirement.marker
        if marker is not None and not marker.evaluate({'extra': ''}):
            continue
        if requirement.name in package_names:
            continue
        package_names.add(requirement.name)
        requirements = metadata.requires(requirement.name)
        pending.extend(requirements or ())
    return sorted(package_names)


def _list_package_entries(package: str) -> Iterator[ArchiveEntry]:
    for file in metadata.files(package) or ():
        if _EXCLUDED_PATH_PARTS.isdisjoint(file.parts):
            yield ArchiveEntry(Path(str(file.locate())), str(file))


def _stage_entry(entry: ArchiveEntry, staging_path: Path) -> None:
    staged_path = staging_path / entry.name
    staged_path.parent.mkdir(parents=True, exist_ok=True)
    staged_path.write_bytes(entry.path.read_bytes())
    if staged_path.suffix == '.py' and entry.name != '__main__.py':
        _compile(staged_path, entry.name)


def _compile(staged_path: Path, name: str) -> None:
    """Write bytecode beside a module, so that it is not compiled at start."""
    py_compile.compile(
        str(staged_path),
        cfile=str(staged_path.with_suffix('.pyc')),
        dfile=name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def main() -> None:
    """Build the archive and print its path and size."""
    archive_path = build()
    size_mb = archive_path.stat().st_size / _BYTES_PER_MB
    print(f'{archive_path.relative_to(_ROOT)}: {size_mb:.1f} MB')


if __name__ == '__main__':
    main()

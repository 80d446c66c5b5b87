"""Entry point of the archive; loads C extensions from temporary files.

The dynamic loader opens only files, so each C extension is written to the
temporary directory, loaded and deleted at once. No file remains, even after a
kill.
"""

import sys
import sysconfig
import tempfile
from importlib.abc import Loader, MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ModuleSpec
from importlib.machinery import ExtensionFileLoader as FileLoader
from pathlib import Path
from types import ModuleType
from zipfile import ZipFile

ARCHIVE_PATH = Path(__file__).parent
VERSION_ENTRY = 'python-version'


class ArchiveExtensionLoader(Loader):
    """Loads one C extension from the archive."""

    def __init__(self, *, name: str, content: bytes) -> None:
        """Create a loader for the content of a shared object."""
        self._name = name
        self._content = content

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Write the shared object to a temporary file, load and delete it."""
        suffix = sysconfig.get_config_var('SHLIB_SUFFIX')
        with tempfile.NamedTemporaryFile(suffix=suffix) as shared_object:
            shared_object.write(self._content)
            shared_object.flush()
            self._loader = FileLoader(self._name, shared_object.name)
            origin = shared_object.name
            return self._loader.create_module(
                ModuleSpec(spec.name, self._loader, origin=origin),
            )

    def exec_module(self, module: ModuleType) -> None:
        """Initialise the loaded module."""
        self._loader.exec_module(module)


class ArchiveExtensionFinder(MetaPathFinder):
    """Finds C extensions in the archive."""

    def __init__(self, *, archive: ZipFile) -> None:
        """Index the entries of an open archive."""
        self._archive = archive
        self._entries = frozenset(archive.namelist())

    def find_spec(
        self,
        fullname: str,
        path: object,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of an extension, or `None` for other modules."""
        stem = fullname.replace('.', '/')
        for suffix in EXTENSION_SUFFIXES:
            entry = f'{stem}{suffix}'
            if entry in self._entries:
                loader = ArchiveExtensionLoader(
                    name=fullname,
                    content=self._archive.read(entry),
                )
                origin = str(ARCHIVE_PATH / entry)
                return ModuleSpec(fullname, loader, origin=origin)
        return None


def boot() -> int:
    """Install the import hook and run the command line."""
    archive = ZipFile(ARCHIVE_PATH)
    built_version = archive.read(VERSION_ENTRY).decode()
    running_version = sysconfig.get_python_version()
    if running_version != built_version:
        sys.stderr.write(
            f'toucanhall: built for Python {built_version}, '
            f'run by {running_version}\n',
        )
        return 2
    sys.meta_path.insert(0, ArchiveExtensionFinder(archive=archive))
    from toucanhall.__main__ import main  # noqa: PLC0415

    return main()


if __name__ == '__main__':
    sys.exit(boot())

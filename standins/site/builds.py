"""Checks out earlier builds from the history of the repository."""

import io
import shutil
import subprocess
import tarfile
from pathlib import Path
from typing import Final

__all__ = ('HistoryMissingError', 'check_out')

_ROOT: Final = Path(__file__).parents[2]
_FOLDER: Final = _ROOT / 'target' / 'builds'


class HistoryMissingError(RuntimeError):
    """A commit is not at hand, as in a shallow checkout."""


def check_out(commit: str) -> Path:
    """Return the folder of the program as it was at a commit."""
    folder = _FOLDER / commit
    if folder.exists():
        return folder
    archived = subprocess.run(
        ('git', 'archive', commit, 'toucanhall', 'standins'),
        cwd=_ROOT,
        capture_output=True,
    )
    if archived.returncode:
        why = archived.stderr.decode(errors='replace').strip()
        raise HistoryMissingError(
            f'build {commit} is not in the history at hand ({why}): '
            'a whole checkout is needed'
        )
    return _unpack(archived.stdout, folder)


def _unpack(archive: bytes, folder: Path) -> Path:
    """Unpack beside the folder, so that it is there whole or not at all."""
    _FOLDER.mkdir(parents=True, exist_ok=True)
    part = _FOLDER / f'{folder.name}.part'
    shutil.rmtree(part, ignore_errors=True)
    with tarfile.open(fileobj=io.BytesIO(archive)) as packed:
        packed.extractall(part, filter='data')
    part.rename(folder)
    return folder

"""An object store in memory, with the failures of the platform's."""

from returns.result import Failure, Success

from toucanhall.objectstore import Ambiguous, Conflict, Stored, Unavailable


class MemoryStore:
    """Objects with versions; `modes` maps prefixes of names to failures.

    The modes are `down` (reads and writes fail), `lost` (a write takes effect,
    but its answer is lost), `gone` (as `lost`, then the store is down) and
    `full` (only writes fail).
    """

    def __init__(self):
        """Start empty and without failures."""
        self.stored = {}
        self.modes = {}
        self.before_write = str

    def read(self, name):
        """Return an object, or a failure if the store is down."""
        if self._find_mode(name) == 'down':
            return Failure(Unavailable(name))
        version, content = self.stored.get(name, (0, b''))
        return Success(Stored(name, version, content))

    def write(self, name, content, expected):
        """Write an object if it has the expected version."""
        self.before_write(name)
        mode = self._find_mode(name)
        if mode in {'down', 'full'}:
            return Failure(Unavailable(name))
        if self.stored.get(name, (0, b''))[0] != expected:
            return Failure(Conflict(name, expected))
        self.stored[name] = (expected + 1, content)
        if mode in {'lost', 'gone'}:
            self.modes = {'': 'lost' if mode == 'lost' else 'down'}
            return Failure(Ambiguous(name, 'no reply'))
        return Success(expected + 1)

    def _find_mode(self, name):
        for prefix, mode in self.modes.items():
            if name.startswith(prefix):
                return mode
        return ''

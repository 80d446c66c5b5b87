"""Revisions of tables, by which VMs tell which of two tables is newer.

A store that comes back from a copy begins a new era: it gives out again the
revisions after the copy. Revisions are compared by their era first.
"""

from typing import NamedTuple

__all__ = ('Revision', 'Revisions', 'is_ahead')


class Revision(NamedTuple):
    """A revision of the store in one of its eras, 0 while not known."""

    era: int = 0
    number: int = 0


class Revisions(NamedTuple):
    """The version of the configuration and the revisions of the tables.

    The version is the operators': it does not depend on the era.
    """

    configuration: int = 0
    targets: Revision = Revision()
    evacuations: Revision = Revision()
    suspects: Revision = Revision()


def is_ahead(found: Revisions, own: Revisions) -> bool:
    """Whether any table of a peer is newer than the own one."""
    return (
        found.configuration > own.configuration
        or found.targets > own.targets
        or found.evacuations > own.evacuations
        or found.suspects > own.suspects
    )

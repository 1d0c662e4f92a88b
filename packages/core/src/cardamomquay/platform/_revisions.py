"""Revisions of a store that may be restored from an older copy.

A restored store gives versions out again, so that a version alone does not tell which
of two states is the later one. The store names its era, which rises with each restore.
Revisions hold the era in their upper bits: those of a later era compare as greater.
"""

from __future__ import annotations

# Reports between hosts hold revisions in 64 bits: 44 for the version, 20 for the era.
VERSION_BITS = 44
ERA_COUNT = 2**20


def make_revision(era: int, version: int) -> int:
    """Return the revision of a version in an era of the store.

    Parameters
    ----------
    era : int
        Below `ERA_COUNT`; it rises with each restore. 0 if the store names none.
    version : int
        0 for a row that does not exist, in any era.

    Returns
    -------
    int
        0 for version 0.
    """
    return era << VERSION_BITS | version if version else 0


def revision_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> VERSION_BITS


def revision_version(revision: int) -> int:
    """Return the store's version of a revision."""
    return revision & ((1 << VERSION_BITS) - 1)

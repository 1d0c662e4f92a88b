"""Decides whether a host may rely on its configuration being the newest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.membership import StoreReport

if TYPE_CHECKING:
    from collections.abc import Sequence

# Greatest age of evidence that a configuration is current, and of a store report that
# counts towards an outage.
CONFIG_EVIDENCE_MAX_AGE_S = 2.0
# Number of hosts in the store's region that have to report a refused read to confirm an
# outage; all live ones there if these are fewer.
OUTAGE_REPORTS_NEEDED = 2


@dataclass(frozen=True, slots=True)
class StoreRegionReport:
    """A report about the store from a host in the store's region.

    Parameters
    ----------
    host : str
    report : StoreReport
    at_s : float
        Start of the read that gave the report, on this host's clock.
    config_version : int
        Version in force on the reporting host.
    live : bool
        Whether the reporting host is live or leaving. The report of a suspect host can
        contradict an outage, but is not required to confirm one.
    """

    host: str
    report: StoreReport
    at_s: float
    config_version: int
    live: bool = True


@dataclass(frozen=True, slots=True)
class ConfigEvidence:
    """What a host knows about the age of its configuration and the state of the store.

    Parameters
    ----------
    config_version : int
        Version in force on this host; 0 for none.
    confirmed_at_s : float
        Latest time at which the store is known to have accepted no version above
        `config_version`.
    reports : sequence of StoreRegionReport
        Newest report of each host in the store's region that is not dead, including
        this host if it is in that region.
    known_version : int
        Highest version that this host knows to exist.
    """

    config_version: int
    confirmed_at_s: float
    reports: Sequence[StoreRegionReport] = ()
    known_version: int = 0


def is_config_current(evidence: ConfigEvidence, now_s: float) -> bool:
    """Whether a host may rely on its configuration being the newest.

    It may if its evidence is at most `CONFIG_EVIDENCE_MAX_AGE_S` old, or during a
    confirmed outage of the store, which cannot accept a newer version meanwhile.
    Otherwise, only routes that are open to all callers are served.

    Parameters
    ----------
    evidence : ConfigEvidence
    now_s : float
        Time on this host's clock.

    Returns
    -------
    bool
    """
    if evidence.config_version == 0:
        return False
    if now_s - evidence.confirmed_at_s <= CONFIG_EVIDENCE_MAX_AGE_S:
        return True
    return is_outage_confirmed(evidence, now_s)


def is_outage_confirmed(evidence: ConfigEvidence, now_s: float) -> bool:
    """Whether reports from the store's region establish that the store is down.

    A store that is down accepts no edits, so no key can have been withdrawn meanwhile.
    A read that gets no answer does not show an outage: only the link may be down.

    Parameters
    ----------
    evidence : ConfigEvidence
    now_s : float

    Returns
    -------
    bool
    """
    return outage_confirmed_at_s(evidence, now_s) is not None


def outage_confirmed_at_s(evidence: ConfigEvidence, now_s: float) -> float | None:
    """Return a time at which the store was down and `config_version` was the newest.

    Parameters
    ----------
    evidence : ConfigEvidence
    now_s : float

    Returns
    -------
    float or None
        None if no outage is confirmed at `now_s`.
    """
    fresh = [r for r in evidence.reports if now_s - r.at_s <= CONFIG_EVIDENCE_MAX_AGE_S]
    live = sum(r.live for r in evidence.reports)
    if not fresh or len(fresh) < min(OUTAGE_REPORTS_NEEDED, live):
        return None
    if any(r.report is not StoreReport.REFUSED for r in fresh):
        return None
    newest_version = max(
        evidence.known_version, *(r.config_version for r in evidence.reports)
    )
    if evidence.config_version < newest_version:
        return None
    return min(r.at_s for r in fresh)

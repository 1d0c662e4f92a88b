"""Whether a host may rely on its configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.membership import StoreReport

if TYPE_CHECKING:
    from collections.abc import Sequence

CURRENCY_BOUND_S = 2.0
OUTAGE_REPORTS_NEEDED = 2


@dataclass(frozen=True, slots=True)
class RegionReport:
    """What a host of the store's region reports about the store.

    Parameters
    ----------
    host : str
    report : StoreReport
    at_s : float
        Start of the read that gave the report, on the clock of the evaluating host.
    config_version : int
        Version in force on the reporting host.
    live : bool
        Whether the reporting host is live. A report of a host that is not live can
        contradict an outage, and is not needed to confirm one.
    """

    host: str
    report: StoreReport
    at_s: float
    config_version: int
    live: bool = True


@dataclass(frozen=True, slots=True)
class CurrencyView:
    """Evidence of one host about its configuration.

    Parameters
    ----------
    config_version : int
        Version in force on this host; 0 for none.
    confirmed_at_s : float
        Newest time at which no version above `config_version` was accepted.
    reports : sequence of RegionReport
        Newest report of each host of the store's region that is not dead, own one
        included.
    known_version : int
        Highest version that this host has heard of.
    """

    config_version: int
    confirmed_at_s: float
    reports: Sequence[RegionReport] = ()
    known_version: int = 0


def is_current(view: CurrencyView, now_s: float) -> bool:
    """Whether closed routes may be served with this configuration.

    Parameters
    ----------
    view : CurrencyView
    now_s : float
        Time on the evaluating host's clock, in seconds.

    Returns
    -------
    bool
    """
    if view.config_version == 0:
        return False
    if now_s - view.confirmed_at_s <= CURRENCY_BOUND_S:
        return True
    return is_outage_confirmed(view, now_s)


def is_outage_confirmed(view: CurrencyView, now_s: float) -> bool:
    """Whether hosts of the store's region prove that the store is down.

    While the store is down nothing can be accepted, so nothing can have been
    withdrawn. A host elsewhere that only misses answers proves nothing.

    Parameters
    ----------
    view : CurrencyView
    now_s : float

    Returns
    -------
    bool
    """
    return outage_confirmed_at_s(view, now_s) is not None


def outage_confirmed_at_s(view: CurrencyView, now_s: float) -> float | None:
    """Return a time at which the store was down and had accepted nothing newer.

    Parameters
    ----------
    view : CurrencyView
    now_s : float

    Returns
    -------
    float or None
        None if no outage is confirmed at `now_s`.
    """
    fresh = [r for r in view.reports if now_s - r.at_s <= CURRENCY_BOUND_S]
    live = sum(r.live for r in view.reports)
    if not fresh or len(fresh) < min(OUTAGE_REPORTS_NEEDED, live):
        return None
    if any(r.report is not StoreReport.REFUSED for r in fresh):
        return None
    newest = max(view.known_version, *(r.config_version for r in view.reports))
    if view.config_version < newest:
        return None
    return min(r.at_s for r in fresh)

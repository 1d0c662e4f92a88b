"""Running totals of organisations' requests, as hosts tell them each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.placement import short_id

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._reports import HostDigest
    from cardamomquay_daemon.edge._reports import Report
    from cardamomquay_daemon.edge._state import HostState

# Values of the digest of names; they take one byte in a report.
DIGESTS = 128
# A total is among the latest for this long after it changed, so that two lost reports
# do no harm.
LATEST_S = 2.2


class UsageTotals:
    """What this host tells of its requests, and what others tell of theirs.

    A list of totals holds, in turn, the index of an organisation's name in the
    configuration and the number of its requests since the host started.

    Parameters
    ----------
    state : HostState
    eligibility : Eligibility
    """

    def __init__(self, state: HostState, eligibility: Eligibility) -> None:
        self._state = state
        self._eligibility = eligibility
        self._digested: tuple[tuple[str, ...], int] = ((), 0)
        self._told: dict[int, tuple[int, float]] = {}

    @property
    def names_digest(self) -> int:
        """Digest of the names that the indices stand for."""
        names = self._names()
        if names != self._digested[0]:
            self._digested = (names, short_id("\0".join(names)) % DIGESTS)
        return self._digested[1]

    def _names(self) -> tuple[str, ...]:
        config = self._state.config
        return config.organisation_names if config else ()

    def whole(self) -> list[int]:
        """Return the totals of all organisations that have any."""
        totals: list[int] = []
        for index, name in enumerate(self._names()):
            quota = self._eligibility.quotas.get(name)
            if quota is not None and quota.admitted:
                totals += (index, quota.admitted)
        return totals

    def latest(self, whole: list[int], now_s: float) -> list[int]:
        """Return those of the totals that changed lately."""
        latest: list[int] = []
        for index, total in zip(whole[::2], whole[1::2], strict=True):
            before = self._told.get(index)
            if before is None or before[0] != total:
                before = self._told[index] = (total, now_s)
            if now_s - before[1] <= LATEST_S:
                latest += (index, total)
        return latest

    def note_told(self) -> None:
        """Remember that all other hosts are told the totals now."""
        for quota in self._eligibility.quotas.values():
            quota.record_own_report()

    def is_due(self, organisation: str) -> bool:
        """Whether other hosts should hear of an organisation's requests at once."""
        quota = self._eligibility.quotas.get(organisation)
        return quota is not None and quota.is_report_due

    def apply(self, host: str, report: Report | HostDigest, now_s: float) -> None:
        """Take over what another host tells, or has told a gateway."""
        # Hosts that are cut off from the store keep an older configuration, and their
        # requests count all the same as long as it names the same organisations.
        if report.usage is None or report.names_digest != self.names_digest:
            return
        names = self._names()
        for index, total in zip(report.usage[::2], report.usage[1::2], strict=False):
            quota = self._eligibility.quotas.get(names[index])
            if quota is not None:
                quota.apply_peer_total(host, total, now_s)
        # Before the first whole list, a total cannot be told from an increase; those of
        # a list that is not whole are where later increases are counted from.
        self._eligibility.heard.record_report(
            host, now_s, has_all_totals=report.is_usage_whole
        )

    def note_restart(self, host: str) -> None:
        """Count the totals of a host from nothing again."""
        for quota in self._eligibility.quotas.values():
            quota.reset_peer_total(host)

    def forget(self, host: str) -> None:
        """Stop charging a host that is gone for good."""
        if host not in self._eligibility.heard:
            return
        self._eligibility.heard.forget(host)
        for quota in self._eligibility.quotas.values():
            quota.forget_peer(host)

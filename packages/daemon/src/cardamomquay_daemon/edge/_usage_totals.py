"""Running totals of organisations' requests that hosts report to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.placement import short_id

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._reports import HostDigest
    from cardamomquay_daemon.edge._reports import Report
    from cardamomquay_daemon.edge._state import HostState

# A hash below this takes one byte in a report.
NAMES_HASH_VALUES = 128
# A changed total is included in deltas for this long, so that two lost reports do no
# harm.
USAGE_CHANGE_REPEAT_S = 2.2


class UsageTotals:
    """Lists this host's totals for reports, and applies those of other hosts.

    A list of totals alternates between the index of an organisation's name in the
    configuration and the number of its requests since the host started.

    Parameters
    ----------
    state : HostState
    eligibility : Eligibility
    """

    def __init__(self, state: HostState, eligibility: Eligibility) -> None:
        self._state = state
        self._eligibility = eligibility
        self._names_and_hash: tuple[tuple[str, ...], int] = ((), 0)
        # Total and time of its latest change, by index of the organisation.
        self._last_changes: dict[int, tuple[int, float]] = {}

    @property
    def names_hash(self) -> int:
        """Hash of the names to which the indices refer."""
        names = self._names()
        # A configuration keeps its tuple of names.
        if names is not self._names_and_hash[0]:
            self._names_and_hash = (
                names,
                short_id("\0".join(names)) % NAMES_HASH_VALUES,
            )
        return self._names_and_hash[1]

    def _names(self) -> tuple[str, ...]:
        config = self._state.config
        return config.organisation_names if config else ()

    def full(self) -> list[int]:
        """Return the totals of all organisations that have requests."""
        totals: list[int] = []
        for index, name in enumerate(self._names()):
            quota = self._eligibility.quotas.get(name)
            if quota is not None and quota.admitted:
                totals += (index, quota.admitted)
        return totals

    def delta(self, full: list[int], now_s: float) -> list[int]:
        """Return those of the totals that changed recently."""
        delta: list[int] = []
        for index, total in zip(full[::2], full[1::2], strict=True):
            last_change = self._last_changes.get(index)
            if last_change is None or last_change[0] != total:
                last_change = self._last_changes[index] = (total, now_s)
            if now_s - last_change[1] <= USAGE_CHANGE_REPEAT_S:
                delta += (index, total)
        return delta

    def record_reported(self) -> None:
        """Record that the totals are now reported to all other hosts."""
        for quota in self._eligibility.quotas.values():
            quota.record_own_report()

    def is_report_due(self, organisation: str) -> bool:
        """Whether an organisation's total has to be reported at once."""
        quota = self._eligibility.quotas.get(organisation)
        return quota is not None and quota.is_report_due

    def apply_report(
        self, host: str, report: Report | HostDigest, now_s: float
    ) -> None:
        """Apply totals that another host reported, directly or through a gateway."""
        # Hosts without access to the store keep an older configuration. Their requests
        # are counted as long as it contains the same organisations.
        if report.usage is None or report.names_hash != self.names_hash:
            return
        names = self._names()
        for index, total in zip(report.usage[::2], report.usage[1::2], strict=False):
            quota = self._eligibility.quotas.get(names[index])
            if quota is not None:
                quota.apply_peer_total(host, total, now_s)
        # Before the first full list it is unknown how much of a total is new. The
        # totals of a delta are then the base from which later increases are counted.
        self._eligibility.report_times.apply_report(
            host, now_s, has_all_totals=report.is_usage_full
        )

    def reset_totals(self, host: str) -> None:
        """Count the totals of a restarted host from zero again."""
        for quota in self._eligibility.quotas.values():
            quota.reset_peer_total(host)

    def clear_host(self, host: str) -> None:
        """Stop charging quotas for a host that no longer runs."""
        if host not in self._eligibility.report_times:
            return
        self._eligibility.report_times.clear_host(host)
        for quota in self._eligibility.quotas.values():
            quota.clear_peer(host)

"""Handlers of the effects that access the configuration and the host list."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import parse_head
from cardamomquay.config_sync import ConfigInForce
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigLoadFailed
from cardamomquay.config_sync import HeadRead
from cardamomquay.config_sync import HeadReadFailed
from cardamomquay.config_sync import LoadConfig
from cardamomquay.config_sync import OlderConfigIgnored
from cardamomquay.config_sync import ReadHead
from cardamomquay.config_sync import SettleEdits
from cardamomquay.config_sync import SettlementAttempted
from cardamomquay.config_sync import UnverifiedConfigIgnored
from cardamomquay.config_sync import settlement_transaction
from cardamomquay.membership import HostsListed
from cardamomquay.membership import ReadHostList
from cardamomquay.outcomes import format_findings
from cardamomquay.platform import Committed
from cardamomquay.platform import RowKey
from cardamomquay.platform import Unavailable
from cardamomquay_daemon._editor import parse_stored_config
from cardamomquay_daemon._editor import read_stored_config
from cardamomquay_daemon._telemetry import CONFIG_IN_FORCE
from cardamomquay_daemon._telemetry import CONFIG_INVALID
from cardamomquay_daemon._telemetry import CONFIG_OLDER_IGNORED
from cardamomquay_daemon._telemetry import CONFIG_WITHOUT_EVIDENCE
from cardamomquay_daemon._telemetry import EDIT_SETTLED
from cardamomquay_daemon._telemetry import STORE_UNAVAILABLE

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.platform import HostList
    from cardamomquay.platform import TableService
    from cardamomquay.reducer import Effect
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry


class ConfigEffects:
    """Reads the head row of the configuration, loads configurations, settles edits."""

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        runtime: Runtime,
        telemetry: Telemetry,
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._runtime = runtime
        self._telemetry = telemetry

    def handlers(self) -> Mapping[type[Effect], Callable[[Any], None]]:
        """Return the handler of each effect type."""
        return {
            ReadHead: self._read_head,
            LoadConfig: self._load_config,
            ConfigInForce: self._log_in_force,
            OlderConfigIgnored: self._log_older_ignored,
            UnverifiedConfigIgnored: self._log_unverified_ignored,
            SettleEdits: self._settle_edits,
        }

    def _read_head(self, effect: ReadHead) -> None:
        started_s = self._clock.now_s()
        found = self._tables.read((CONFIG_HEAD_KEY,))
        now_s = self._clock.now_s()
        if isinstance(found, Unavailable):
            self._telemetry.count("store.unavailable")
            self._telemetry.log(STORE_UNAVAILABLE, reason=found.reason)
            self._runtime.post(HeadReadFailed(now_s, started_s, found.refused))
            return
        version, _, _ = parse_head(found.rows[0])
        self._runtime.post(HeadRead(now_s, started_s, version))

    def _load_config(self, effect: LoadConfig) -> None:
        stored = read_stored_config(self._tables, self._clock)
        now_s = self._clock.now_s()
        if isinstance(stored, Unavailable):
            self._runtime.post(ConfigLoadFailed(now_s))
            return
        parsed = parse_stored_config(stored)
        if isinstance(parsed, tuple):
            self._telemetry.log(CONFIG_INVALID, findings=format_findings(parsed))
            self._runtime.post(ConfigLoadFailed(now_s))
            return
        self._runtime.post(ConfigLoaded(now_s, parsed, stored.confirmed_at_s))

    def _log_in_force(self, effect: ConfigInForce) -> None:
        self._telemetry.log(CONFIG_IN_FORCE, version=effect.version)

    def _log_older_ignored(self, effect: OlderConfigIgnored) -> None:
        self._telemetry.count("config.older_ignored")
        self._telemetry.log(
            CONFIG_OLDER_IGNORED, offered=effect.offered_version, version=effect.version
        )

    def _settle_edits(self, effect: SettleEdits) -> None:
        """Try to prevent edits whose answer was lost from being accepted later.

        A committed settlement creates a new version of the head row, in which every
        host sees the result. `SettlementAttempted` therefore states only that the
        attempt has ended.
        """
        try:
            for edit in effect.edits:
                id_key = RowKey("edit_ids", edit.edit_id)
                found = self._tables.read((id_key, CONFIG_HEAD_KEY))
                if isinstance(found, Unavailable) or found.rows[0].value is not None:
                    continue
                transaction = settlement_transaction(found.rows[1], edit)
                if transaction is not None:
                    outcome = self._tables.transact(transaction)
                    settled = isinstance(outcome, Committed)
                    self._telemetry.log(
                        EDIT_SETTLED, edit_id=edit.edit_id, settled=settled
                    )
        finally:
            self._runtime.post(SettlementAttempted(self._clock.now_s()))

    def _log_unverified_ignored(self, effect: UnverifiedConfigIgnored) -> None:
        self._telemetry.log(CONFIG_WITHOUT_EVIDENCE, version=effect.version)


class HostListEffects:
    """Reads the host list of the platform."""

    def __init__(self, host_list: HostList, clock: Clock, runtime: Runtime) -> None:
        self._host_list = host_list
        self._clock = clock
        self._runtime = runtime

    def handlers(self) -> Mapping[type[Effect], Callable[[Any], None]]:
        """Return the handler of each effect type."""
        return {ReadHostList: self._read_hosts}

    def _read_hosts(self, effect: ReadHostList) -> None:
        listed = self._host_list.list_hosts()
        if not isinstance(listed, Unavailable):
            self._runtime.post(HostsListed(self._clock.now_s(), listed))

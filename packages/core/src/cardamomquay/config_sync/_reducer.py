"""Reducer for the configuration in force and the evidence that it is the newest."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.config_sync._evidence import ConfigEvidence
from cardamomquay.config_sync._evidence import StoreRegionReport
from cardamomquay.config_sync._evidence import is_config_current
from cardamomquay.config_sync._evidence import outage_confirmed_at_s
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.membership import StoreReport
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.config import Config

HEAD_READ_INTERVAL_S = 0.5
HEAD_READ_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class ReadHead(Effect):
    """Read the head row, which holds the newest version of the configuration.

    The answer is `HeadRead` or `HeadReadFailed`.
    """


@dataclass(frozen=True, slots=True)
class LoadConfig(Effect):
    """Load the configuration, at `version` or newer, from the store.

    The answer is `ConfigLoaded` or `ConfigLoadFailed`.
    """

    version: int


@dataclass(frozen=True, slots=True)
class FetchConfigFromPeer(Effect):
    """Fetch the configuration, at `version` or newer, from a peer.

    The answer is `ConfigLoaded` or `ConfigLoadFailed`.
    """

    version: int
    peer_address: str


@dataclass(frozen=True, slots=True)
class HeadRead(Event):
    """The head row, read by a call that began at `started_s`, showed `version`."""

    started_s: float
    version: int


@dataclass(frozen=True, slots=True)
class HeadReadFailed(Event):
    """The read of the head row that began at `started_s` failed.

    `refused` is true if the store reported that it is down or refused the connection,
    and false if it did not answer; see `Unavailable`.
    """

    started_s: float
    refused: bool


@dataclass(frozen=True, slots=True)
class ConfigLoaded(Event):
    """A configuration was loaded that was the newest one at `confirmed_at_s`.

    `from_peer` is true if it came from a peer and false if it came from the store.
    """

    config: Config
    confirmed_at_s: float
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class ConfigLoadFailed(Event):
    """A configuration could not be loaded."""


@dataclass(frozen=True, slots=True)
class ConfigInForce(Effect):
    """Notifies the daemon that a new version is in force on this host."""

    version: int


@dataclass(frozen=True, slots=True)
class OlderConfigIgnored(Effect):
    """Notifies the daemon that the store or a peer offered an outdated version.

    `version` is the newer version on this host: the highest known one if a head row was
    read, the one in force if a configuration was loaded.
    """

    offered_version: int
    version: int


@dataclass(frozen=True, slots=True)
class UnverifiedConfigIgnored(Effect):
    """Notifies the daemon that a peer's configuration was not shown to be current.

    It was ignored, and this host still has no configuration in force.
    """

    version: int


@dataclass(frozen=True, slots=True)
class ConfigState:
    """State of the configuration reducer.

    Parameters
    ----------
    config : Config or None
        The configuration in force.
    confirmed_at_s : float
        Latest time at which the store is known to have accepted no higher version than
        that of `config`.
    known_version : int
        Highest version that this host knows to exist.
    store_report : StoreReport
        What this host's last read of the head row showed.
    store_report_at_s : float
        Start of that read.
    head_due_s : float
        When the next read of the head row is due.
    loading : bool
        Whether a configuration is being loaded from the store or from a peer.
    """

    config: Config | None = None
    confirmed_at_s: float = float("-inf")
    known_version: int = 0
    store_report: StoreReport = StoreReport.NONE
    store_report_at_s: float = float("-inf")
    head_due_s: float = float("-inf")
    loading: bool = False

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return 0 if self.config is None else self.config.version


class ConfigReducer(SliceReducer[ConfigState]):
    """Keeps the newest configuration, and the evidence that it is the newest."""

    state_type = ConfigState

    def initial(self, identity: Identity) -> ConfigState:
        return ConfigState()

    def reduce(
        self, state: ConfigState, event: Event, core: CoreState
    ) -> tuple[ConfigState, tuple[Effect, ...]]:
        match event:
            case Tick():
                state = _confirm_by_outage(state, core, event.now_s)
                if event.now_s < state.head_due_s:
                    return state, ()
                # The answer sets the next due time; this one applies if none comes.
                due_s = event.now_s + HEAD_READ_TIMEOUT_S
                return replace(state, head_due_s=due_s), (ReadHead(),)
            case HeadRead():
                return _apply_head_read(state, event)
            case HeadReadFailed():
                report = StoreReport.REFUSED if event.refused else StoreReport.NO_ANSWER
                due_s = event.started_s + HEAD_READ_INTERVAL_S
                failed = replace(state, head_due_s=due_s)
                return _set_store_report(failed, report, event.started_s), ()
            case ConfigLoaded():
                return _apply_loaded_config(state, event, core)
            case ConfigLoadFailed():
                return replace(state, loading=False), ()
            case ExchangeAnswered():
                return _apply_exchange_answer(state, event)
            case ExchangeReceived():
                return _apply_exchange_request(state, event, core)
            case _:
                return state, ()


def _confirm_by_outage(
    state: ConfigState, core: CoreState, now_s: float
) -> ConfigState:
    """Record a confirmed outage as evidence: the store accepted nothing during it.

    Without this, a host would have no recent evidence between the first report that the
    store is up again and its own next read.
    """
    if state.config is None or now_s - state.confirmed_at_s <= HEAD_READ_INTERVAL_S:
        return state
    at_s = outage_confirmed_at_s(_build_evidence(state, core, now_s), now_s)
    if at_s is None or at_s <= state.confirmed_at_s:
        return state
    return replace(state, confirmed_at_s=at_s)


def _set_store_report(
    state: ConfigState, report: StoreReport, at_s: float
) -> ConfigState:
    if at_s < state.store_report_at_s:
        return state
    return replace(state, store_report=report, store_report_at_s=at_s)


def _apply_head_read(
    state: ConfigState, event: HeadRead
) -> tuple[ConfigState, tuple[Effect, ...]]:
    state = replace(state, head_due_s=event.started_s + HEAD_READ_INTERVAL_S)
    state = _set_store_report(state, StoreReport.READ, event.started_s)
    if event.version < state.known_version:
        return state, (OlderConfigIgnored(event.version, state.known_version),)
    state = replace(state, known_version=event.version)
    if event.version == state.version:
        confirmed = max(state.confirmed_at_s, event.started_s)
        return replace(state, confirmed_at_s=confirmed), ()
    if state.loading:
        return state, ()
    return replace(state, loading=True), (LoadConfig(event.version),)


def _apply_exchange_answer(
    state: ConfigState, event: ExchangeAnswered
) -> tuple[ConfigState, tuple[Effect, ...]]:
    if event.config_version == state.version and event.confirmed_age_s is not None:
        # The peer answered after the call began. Counting the age back from the start
        # of the call never makes the evidence look more recent than it is.
        at_s = event.started_s - max(0.0, event.confirmed_age_s)
        if at_s > state.confirmed_at_s:
            state = replace(state, confirmed_at_s=at_s)
    return _fetch_newer(state, event.config_version, event.target.peer_address)


def _apply_exchange_request(
    state: ConfigState, event: ExchangeReceived, core: CoreState
) -> tuple[ConfigState, tuple[Effect, ...]]:
    # A request may have been sent long before it was received, so it gives no evidence.
    # It can still show that a newer version exists.
    sender = core.state_of(MembershipState).members.get(event.sender_record.record.host)
    if sender is None:
        return state, ()
    return _fetch_newer(state, event.config_version, sender.record.peer_address)


def _fetch_newer(
    state: ConfigState, version: int, peer_address: str
) -> tuple[ConfigState, tuple[Effect, ...]]:
    if version <= state.version:
        return state, ()
    state = replace(state, known_version=max(state.known_version, version))
    if state.loading:
        return state, ()
    return replace(state, loading=True), (FetchConfigFromPeer(version, peer_address),)


def _apply_loaded_config(
    state: ConfigState, event: ConfigLoaded, core: CoreState
) -> tuple[ConfigState, tuple[Effect, ...]]:
    state = replace(state, loading=False)
    version = event.config.version
    if version < state.version:
        return state, (OlderConfigIgnored(version, state.version),)
    if version == state.version:
        confirmed = max(state.confirmed_at_s, event.confirmed_at_s)
        return replace(state, confirmed_at_s=confirmed), ()
    if event.from_peer and state.config is None:
        # A host that has just started has no version to compare with. Adopting an old
        # configuration from a partitioned peer could revert changes for its callers.
        state_if_adopted = replace(
            state, config=event.config, confirmed_at_s=event.confirmed_at_s
        )
        evidence = _build_evidence(state_if_adopted, core, event.now_s)
        if not is_config_current(evidence, event.now_s):
            return state, (UnverifiedConfigIgnored(version),)
    state = replace(
        state,
        config=event.config,
        confirmed_at_s=event.confirmed_at_s,
        known_version=max(state.known_version, version),
    )
    return state, (ConfigInForce(version),)


def config_evidence(core: CoreState, now_s: float) -> ConfigEvidence:
    """Collect the evidence that `is_config_current` evaluates.

    Parameters
    ----------
    core : CoreState
    now_s : float

    Returns
    -------
    ConfigEvidence
    """
    return _build_evidence(core.state_of(ConfigState), core, now_s)


def _build_evidence(
    state: ConfigState, core: CoreState, now_s: float
) -> ConfigEvidence:
    members = core.state_of(MembershipState)
    identity = core.identity
    states = {name: members.state_of(name, now_s) for name in members.members}
    reports = [
        StoreRegionReport(
            name,
            member.record.store_report,
            member.record.store_report_at_s,
            member.record.config_version,
            live=states[name] is not MemberState.SUSPECT,
        )
        for name, member in members.members.items()
        if member.record.region == identity.store_region
        and name != identity.host
        and states[name] is not MemberState.DEAD
    ]
    if identity.region == identity.store_region:
        reports.append(
            StoreRegionReport(
                identity.host,
                state.store_report,
                state.store_report_at_s,
                state.version,
            )
        )
    return ConfigEvidence(
        state.version, state.confirmed_at_s, tuple(reports), state.known_version
    )

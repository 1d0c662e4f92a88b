"""The configuration in force, and the evidence that it is the newest."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.currency._currency import CurrencyView
from cardamomquay.currency._currency import RegionReport
from cardamomquay.currency._currency import is_current
from cardamomquay.currency._currency import outage_confirmed_at_s
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.membership import StoreReport
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.config import Config

HEAD_INTERVAL_S = 0.5
HEAD_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class ReadHead(Effect):
    """Read the head row; the answer is `HeadRead` or `HeadReadFailed`."""


@dataclass(frozen=True, slots=True)
class LoadConfig(Effect):
    """Load the configuration of at least `version` from the table service."""

    version: int


@dataclass(frozen=True, slots=True)
class FetchConfigFromPeer(Effect):
    """Fetch the configuration of at least `version` from a peer.

    The answer is `ConfigLoaded` or `ConfigLoadFailed`.
    """

    version: int
    peer_address: str


@dataclass(frozen=True, slots=True)
class HeadRead(Event):
    """The head row was read; the read began at `started_s`."""

    started_s: float
    version: int


@dataclass(frozen=True, slots=True)
class HeadReadFailed(Event):
    """The read that began at `started_s` failed.

    `refused` tells whether the service itself said that it is down.
    """

    started_s: float
    refused: bool


@dataclass(frozen=True, slots=True)
class ConfigLoaded(Event):
    """A configuration that was the newest at `confirmed_at_s`.

    `from_peer` tells that a peer gave it, and not the store.
    """

    config: Config
    confirmed_at_s: float
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class ConfigLoadFailed(Event):
    """A configuration could not be loaded."""


@dataclass(frozen=True, slots=True)
class ConfigInForce(Effect):
    """Tells the shell that a new version is in force on this host."""

    version: int


@dataclass(frozen=True, slots=True)
class OlderConfigIgnored(Effect):
    """Tells the shell that a source offered an older configuration."""

    offered_version: int
    version: int


@dataclass(frozen=True, slots=True)
class ConfigWithoutEvidence(Effect):
    """Tells the shell that a peer's configuration was not shown to be current."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigState:
    """State of the configuration part.

    Parameters
    ----------
    config : Config or None
        The configuration in force.
    confirmed_at_s : float
        Newest time at which no version above that of `config` was accepted.
    known_version : int
        Highest version heard of.
    report : StoreReport
    report_at_s : float
        This host's own newest report about the store.
    head_due_s : float
    loading : bool
    """

    config: Config | None = None
    confirmed_at_s: float = float("-inf")
    known_version: int = 0
    report: StoreReport = StoreReport.NONE
    report_at_s: float = float("-inf")
    head_due_s: float = float("-inf")
    loading: bool = False

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return 0 if self.config is None else self.config.version


class ConfigPart(Part[ConfigState]):
    """Keeps the newest configuration and its evidence."""

    state_type = ConfigState

    def initial(self, identity: Identity) -> ConfigState:
        return ConfigState()

    def reduce(
        self, own: ConfigState, event: Event, core: CoreState
    ) -> tuple[ConfigState, tuple[Effect, ...]]:
        match event:
            case Tick():
                own = _confirm_by_outage(own, core, event.now_s)
                if event.now_s < own.head_due_s:
                    return own, ()
                # The next read waits for the answer, or for its time-out.
                due_s = event.now_s + HEAD_TIMEOUT_S
                return replace(own, head_due_s=due_s), (ReadHead(),)
            case HeadRead():
                return _head_read(own, event)
            case HeadReadFailed():
                report = StoreReport.REFUSED if event.refused else StoreReport.NO_ANSWER
                due_s = event.started_s + HEAD_INTERVAL_S
                failed = replace(own, head_due_s=due_s)
                return _with_report(failed, report, event.started_s), ()
            case ConfigLoaded():
                return _config_loaded(own, event, core)
            case ConfigLoadFailed():
                return replace(own, loading=False), ()
            case ExchangeAnswered():
                return _exchange_answered(own, event)
            case ExchangeReceived():
                return _exchange_received(own, event, core)
            case _:
                return own, ()


def _confirm_by_outage(own: ConfigState, core: CoreState, now_s: float) -> ConfigState:
    """Take a confirmed outage as evidence.

    Otherwise a host would have no evidence from the first report that the store is
    back until its own next read.
    """
    if own.config is None or now_s - own.confirmed_at_s <= HEAD_INTERVAL_S:
        return own
    at_s = outage_confirmed_at_s(_view(own, core, now_s), now_s)
    if at_s is None or at_s <= own.confirmed_at_s:
        return own
    return replace(own, confirmed_at_s=at_s)


def _with_report(own: ConfigState, report: StoreReport, at_s: float) -> ConfigState:
    if at_s < own.report_at_s:
        return own
    return replace(own, report=report, report_at_s=at_s)


def _head_read(
    own: ConfigState, event: HeadRead
) -> tuple[ConfigState, tuple[Effect, ...]]:
    own = replace(own, head_due_s=event.started_s + HEAD_INTERVAL_S)
    own = _with_report(own, StoreReport.READ, event.started_s)
    if event.version < own.known_version:
        return own, (OlderConfigIgnored(event.version, own.known_version),)
    own = replace(own, known_version=event.version)
    if event.version == own.version:
        confirmed = max(own.confirmed_at_s, event.started_s)
        return replace(own, confirmed_at_s=confirmed), ()
    if own.loading:
        return own, ()
    return replace(own, loading=True), (LoadConfig(event.version),)


def _exchange_answered(
    own: ConfigState, event: ExchangeAnswered
) -> tuple[ConfigState, tuple[Effect, ...]]:
    if event.config_version == own.version and event.confirmed_age_s is not None:
        # The answer was made after the call began, so the evidence is not older.
        at_s = event.started_s - max(0.0, event.confirmed_age_s)
        if at_s > own.confirmed_at_s:
            own = replace(own, confirmed_at_s=at_s)
    return _fetch_newer(own, event.config_version, event.target.peer_address)


def _exchange_received(
    own: ConfigState, event: ExchangeReceived, core: CoreState
) -> tuple[ConfigState, tuple[Effect, ...]]:
    # A request that was sent unasked gives no evidence, only a newer version.
    sender = core.part(MembershipState).members.get(event.sender)
    if sender is None:
        return own, ()
    return _fetch_newer(own, event.config_version, sender.record.peer_address)


def _fetch_newer(
    own: ConfigState, version: int, peer_address: str
) -> tuple[ConfigState, tuple[Effect, ...]]:
    if version <= own.version:
        return own, ()
    own = replace(own, known_version=max(own.known_version, version))
    if own.loading:
        return own, ()
    return replace(own, loading=True), (FetchConfigFromPeer(version, peer_address),)


def _config_loaded(
    own: ConfigState, event: ConfigLoaded, core: CoreState
) -> tuple[ConfigState, tuple[Effect, ...]]:
    own = replace(own, loading=False)
    version = event.config.version
    if version < own.version:
        return own, (OlderConfigIgnored(version, own.version),)
    if version == own.version:
        confirmed = max(own.confirmed_at_s, event.confirmed_at_s)
        return replace(own, confirmed_at_s=confirmed), ()
    if event.from_peer and own.config is None:
        # A host that starts has nothing to compare with. An old configuration of
        # a host that is cut off would be a step back for this host's callers.
        offered = replace(own, config=event.config, confirmed_at_s=event.confirmed_at_s)
        view = _view(offered, core, event.now_s)
        if not is_current(view, event.now_s):
            return own, (ConfigWithoutEvidence(version),)
    own = replace(
        own,
        config=event.config,
        confirmed_at_s=event.confirmed_at_s,
        known_version=max(own.known_version, version),
    )
    return own, (ConfigInForce(version),)


def currency_view(core: CoreState, now_s: float) -> CurrencyView:
    """Collect the evidence that `is_current` judges.

    Parameters
    ----------
    core : CoreState
    now_s : float

    Returns
    -------
    CurrencyView
    """
    return _view(core.part(ConfigState), core, now_s)


def _view(own: ConfigState, core: CoreState, now_s: float) -> CurrencyView:
    members = core.part(MembershipState)
    identity = core.identity
    states = {name: members.state_of(name, now_s) for name in members.members}
    reports = [
        RegionReport(
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
            RegionReport(identity.host, own.report, own.report_at_s, own.version)
        )
    return CurrencyView(
        own.version, own.confirmed_at_s, tuple(reports), own.known_version
    )

"""Hosts in paused time that exchange records without sockets."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from cardamomquay.config import Config
from cardamomquay.currency import ConfigLoaded
from cardamomquay.currency import ConfigPart
from cardamomquay.currency import ConfigState
from cardamomquay.currency import FetchConfigFromPeer
from cardamomquay.currency import HeadRead
from cardamomquay.currency import HeadReadFailed
from cardamomquay.currency import currency_view
from cardamomquay.currency import exchange_statement
from cardamomquay.currency import is_current
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import ExchangeWithPeers
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MembershipPart
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.membership import PeerTarget
from cardamomquay.platform import ListedHost
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Reducer
from cardamomquay.reducer import Tick

STEP_S = 0.1
STORE_REGION = "mtl"


@dataclass
class Host:
    """A host whose clock is `offset_s` ahead of the test's time."""

    name: str
    region: str = STORE_REGION
    incarnation: str = "1"
    peer_address: str = ""
    offset_s: float = 0.0
    paused: bool = False
    core: CoreState = field(init=False)

    def __post_init__(self) -> None:
        self.peer_address = self.peer_address or f"peer-{self.name}"
        self.reducer = Reducer((MembershipPart(), ConfigPart()))
        identity = Identity(
            self.name,
            self.incarnation,
            self.region,
            f"{self.region}-a",
            STORE_REGION,
            f"caller-{self.name}",
            self.peer_address,
        )
        self.core = self.reducer.initial(identity)

    def apply(self, event: Event) -> tuple[object, ...]:
        self.core, effects = self.reducer.reduce(self.core, event)
        return effects

    def listed(self) -> ListedHost:
        identity = self.core.identity
        return ListedHost(
            self.name,
            identity.address,
            self.peer_address,
            self.region,
            identity.availability_zone,
        )

    def state_of(self, name: str, time_s: float) -> MemberState:
        members = self.core.part(MembershipState)
        return members.state_of(name, time_s + self.offset_s)

    @property
    def config(self) -> ConfigState:
        return self.core.part(ConfigState)

    def is_current(self, time_s: float) -> bool:
        now_s = time_s + self.offset_s
        return is_current(currency_view(self.core, now_s), now_s)


class Hosts:
    """Hosts, the links between them, and the head of the store.

    Every call is answered at once: a fault is a link or a host that gives none.
    """

    def __init__(self, *hosts: Host) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.listed = tuple(host.listed() for host in hosts)
        self.cut: set[tuple[str, str]] = set()
        self.no_store: set[str] = set()
        self.store_down = False
        self.head_version = 1
        self.newest = Config(1)
        self.time_s = 0.0

    def run(self, seconds: float) -> None:
        """Advance the time in steps of a tick."""
        for _ in range(round(seconds / STEP_S)):
            self.time_s += STEP_S
            for host in tuple(self.hosts.values()):
                if not host.paused:
                    self._step(host)

    def cut_between(self, group: set[str], other: set[str]) -> None:
        self.cut |= {(a, b) for a in group for b in other}
        self.cut |= {(b, a) for a in group for b in other}

    def _step(self, host: Host) -> None:
        now_s = self.time_s + host.offset_s
        effects = list(host.apply(Tick(now_s)))
        while effects:
            effect = effects.pop(0)
            match effect:
                case ExchangeWithPeers(targets=targets):
                    for target in targets:
                        effects.extend(self._exchange(host, target, now_s))
                case FetchConfigFromPeer(peer_address=address):
                    effects.extend(self._fetch(host, address, now_s))
                case _:
                    effects.extend(self._platform(host, effect, now_s))

    def _platform(self, host: Host, effect: object, now_s: float) -> tuple:
        match type(effect).__name__:
            case "ReadHostList":
                return host.apply(HostsListed(now_s, self.listed))
            case "ReadHead":
                if host.name in self.no_store:
                    return host.apply(HeadReadFailed(now_s, now_s, refused=False))
                if self.store_down:
                    return host.apply(HeadReadFailed(now_s, now_s, refused=True))
                return host.apply(HeadRead(now_s, now_s, self.head_version))
            case "LoadConfig":
                return host.apply(ConfigLoaded(now_s, self.newest, now_s))
            case _:
                return ()

    def _peer(self, host: Host, address: str) -> Host | None:
        for peer in self.hosts.values():
            reached = (host.name, peer.name) not in self.cut
            if peer.peer_address == address and reached and not peer.paused:
                return peer
        return None

    def _exchange(self, host: Host, target: PeerTarget, now_s: float) -> tuple:
        peer = self._peer(host, target.peer_address)
        if peer is None:
            return ()
        theirs_s = self.time_s + peer.offset_s
        sent = exchange_statement(host.core, now_s)
        answer = exchange_statement(peer.core, theirs_s)
        received = ExchangeReceived(
            theirs_s, host.name, sent.records, sent.config_version
        )
        fetched = peer.apply(received)
        for effect in fetched:
            if isinstance(effect, FetchConfigFromPeer):
                self._fetch(peer, effect.peer_address, theirs_s)
        return host.apply(
            ExchangeAnswered(
                now_s,
                now_s,
                target,
                peer.name,
                answer.records,
                answer.config_version,
                answer.confirmed_age_s,
            )
        )

    def _fetch(self, host: Host, address: str, now_s: float) -> tuple:
        peer = self._peer(host, address)
        if peer is None or peer.config.config is None:
            return ()
        age_s = self.time_s + peer.offset_s - peer.config.confirmed_at_s
        loaded = ConfigLoaded(now_s, peer.config.config, now_s - age_s, from_peer=True)
        return host.apply(loaded)

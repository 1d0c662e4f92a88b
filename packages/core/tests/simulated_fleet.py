"""Simulated hosts that exchange records without sockets.

Time advances only when a test advances it.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import TABLES
from cardamomquay.config import ConfigEdit
from cardamomquay.config import PlannedEdit
from cardamomquay.config import RowChange
from cardamomquay.config import parse_config
from cardamomquay.config import parse_head
from cardamomquay.config import plan_edit
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigLoadFailed
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import FetchConfigFromPeer
from cardamomquay.config_sync import HeadRead
from cardamomquay.config_sync import HeadReadFailed
from cardamomquay.config_sync import LoadConfig
from cardamomquay.config_sync import ReadHead
from cardamomquay.config_sync import SettleEdits
from cardamomquay.config_sync import SettlementAttempted
from cardamomquay.config_sync import UnsettledEdit
from cardamomquay.config_sync import UnsettledEditsReducer
from cardamomquay.config_sync import config_evidence
from cardamomquay.config_sync import exchange_reply
from cardamomquay.config_sync import exchange_request
from cardamomquay.config_sync import is_config_current
from cardamomquay.config_sync import settlement_transaction
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import ExchangeWithPeers
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MembershipReducer
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.membership import PeerTarget
from cardamomquay.membership import ReadHostList
from cardamomquay.platform import ListedHost
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.reducer import Tick

STEP_S = 0.1
STORE_REGION = "mtl"
API_KEY_ROW_KEY = RowKey("keys", "k")
API_KEY_ROW_VALUE = {"holder": "org", "owner": "us", "salt": "00", "digest": "a" * 64}


@dataclass
class SimulatedHost:
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
        self.reducer = RootReducer(
            (MembershipReducer(), ConfigReducer(), UnsettledEditsReducer())
        )
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

    def listed_host(self) -> ListedHost:
        identity = self.core.identity
        return ListedHost(
            self.name,
            identity.address,
            self.peer_address,
            self.region,
            identity.availability_zone,
        )

    def state_of(self, name: str, time_s: float) -> MemberState:
        members = self.core.state_of(MembershipState)
        return members.state_of(name, time_s + self.offset_s)

    @property
    def config(self) -> ConfigState:
        return self.core.state_of(ConfigState)

    def is_current(self, time_s: float) -> bool:
        now_s = time_s + self.offset_s
        return is_config_current(config_evidence(self.core, now_s), now_s)


class SimulatedFleet:
    """Simulated hosts, the links between them, and the store.

    Every call is answered at once, or not at all if the link is cut or the host is
    paused. `cut` holds the cut links by caller and callee, and `no_store` the hosts
    that cannot reach the store.
    """

    def __init__(self, *hosts: SimulatedHost) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.host_list = tuple(host.listed_host() for host in hosts)
        self.cut: set[tuple[str, str]] = set()
        self.no_store: set[str] = set()
        self.tables = MemoryTableService()
        self.time_s = 0.0
        self.exchanges = 0
        head = {"version": 1, "edit_id": "first", "operator": "test"}
        rows = {
            CONFIG_HEAD_KEY: head,
            RowKey("organisations", "org"): {
                "owner": "us",
                "rate_per_s": 1,
                "burst": 1,
            },
            API_KEY_ROW_KEY: API_KEY_ROW_VALUE,
        }
        writes = tuple(Write(key, value) for key, value in rows.items())
        self.tables.transact(Transaction((), writes))

    def plan(self, edit_id: str, version: int, change: RowChange) -> PlannedEdit:
        edit = ConfigEdit(edit_id, "operator", "us", version, (change,))
        head, rows = self._stored()
        planned = plan_edit(head, rows, edit)
        assert isinstance(planned, PlannedEdit), planned
        return planned

    def _stored(self) -> tuple[Row, tuple[Row, ...]]:
        rows = tuple(r for table in TABLES for r in self.tables.scan(table).rows)
        return self.tables.read((CONFIG_HEAD_KEY,)).rows[0], rows

    def run(self, seconds: float) -> None:
        """Advance the time, with a tick of every running host each `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.time_s += STEP_S
            for host in tuple(self.hosts.values()):
                if not host.paused:
                    self._step(host)

    def cut_between(self, group: set[str], other: set[str]) -> None:
        self.cut |= {(a, b) for a in group for b in other}
        self.cut |= {(b, a) for a in group for b in other}

    def _step(self, host: SimulatedHost) -> None:
        now_s = self.time_s + host.offset_s
        effects = list(host.apply(Tick(now_s)))
        while effects:
            effect = effects.pop(0)
            match effect:
                case ExchangeWithPeers(targets=targets):
                    for target in sorted(targets, key=lambda t: t.host):
                        effects.extend(self._exchange(host, target, now_s))
                case FetchConfigFromPeer(peer_address=address):
                    effects.extend(self._fetch(host, address, now_s))
                case _:
                    effects.extend(self._run_platform_effect(host, effect, now_s))

    def _run_platform_effect(
        self, host: SimulatedHost, effect: object, now_s: float
    ) -> tuple:
        match effect:
            case ReadHostList():
                return host.apply(HostsListed(now_s, self.host_list))
            case ReadHead():
                found = self.tables.read((CONFIG_HEAD_KEY,))
                if host.name in self.no_store:
                    return host.apply(HeadReadFailed(now_s, now_s, refused=False))
                if isinstance(found, Unavailable):
                    return host.apply(HeadReadFailed(now_s, now_s, found.refused))
                return host.apply(HeadRead(now_s, now_s, parse_head(found.rows[0])[0]))
            case LoadConfig() if not self.tables.faults.down:
                head, rows = self._stored()
                version, edit_id, _ = parse_head(head)
                config = parse_config(version, edit_id, rows)
                return host.apply(ConfigLoaded(now_s, config, now_s))
            case LoadConfig():
                return host.apply(ConfigLoadFailed(now_s))
            case SettleEdits(edits=edits):
                for edit in () if host.name in self.no_store else edits:
                    self._settle(edit)
                return host.apply(SettlementAttempted(now_s))
            case _:
                return ()

    def _settle(self, edit: UnsettledEdit) -> None:
        found = self.tables.read((RowKey("edit_ids", edit.edit_id), CONFIG_HEAD_KEY))
        if not isinstance(found, Unavailable) and found.rows[0].value is None:
            transaction = settlement_transaction(found.rows[1], edit)
            if transaction is not None:
                self.tables.transact(transaction)

    def _reachable_peer(
        self, host: SimulatedHost, address: str
    ) -> SimulatedHost | None:
        for peer in self.hosts.values():
            reachable = (host.name, peer.name) not in self.cut
            if peer.peer_address == address and reachable and not peer.paused:
                return peer
        return None

    def _exchange(self, host: SimulatedHost, target: PeerTarget, now_s: float) -> tuple:
        self.exchanges += 1
        peer = self._reachable_peer(host, target.peer_address)
        if peer is None:
            return ()
        peer_now_s = self.time_s + peer.offset_s
        sent = exchange_request(host.core, now_s)
        answer = exchange_reply(peer.core, peer_now_s, sent.known_records)
        received = ExchangeReceived(
            peer_now_s, sent.sender_record, sent.known_records, sent.config_version
        )
        peer_effects = peer.apply(received)
        for effect in peer_effects:
            if isinstance(effect, FetchConfigFromPeer):
                self._fetch(peer, effect.peer_address, peer_now_s)
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

    def _fetch(self, host: SimulatedHost, address: str, now_s: float) -> tuple:
        peer = self._reachable_peer(host, address)
        if peer is None or peer.config.config is None:
            return ()
        age_s = self.time_s + peer.offset_s - peer.config.confirmed_at_s
        loaded = ConfigLoaded(now_s, peer.config.config, now_s - age_s, from_peer=True)
        return host.apply(loaded)

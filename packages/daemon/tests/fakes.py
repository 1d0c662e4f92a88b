"""Fakes of the classes that the relay uses, and a relay with them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from unittest import mock

from cardamomquay.admission import Admission
from cardamomquay.admission import Admitted
from cardamomquay.balancing import Reservation
from cardamomquay.balancing import UpstreamChooser
from cardamomquay.clock import ManualClock
from cardamomquay.config import Config
from cardamomquay.config import Organisation
from cardamomquay.config import Pool
from cardamomquay.config import Route
from cardamomquay.config import StoredKey
from cardamomquay.config import Upstream
from cardamomquay.config import digest_secret
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.idempotency import UnbatchedIdempotencyRegistry
from cardamomquay.membership import MembershipReducer
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import MemoryTableService
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.steering import BudgetReservation
from cardamomquay_daemon._caller_messages import CallerRequest
from cardamomquay_daemon._relay import Relay
from cardamomquay_daemon._runtime import Snapshot
from cardamomquay_daemon._runtime import build_snapshot
from cardamomquay_daemon._telemetry import Telemetry
from cardamomquay_daemon._upstream_client import UpstreamAnswer
from cardamomquay_daemon._upstream_client import UpstreamFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.balancing import Observation
    from cardamomquay_daemon._upstream_client import UpstreamRequest

SALT = "00ff"
KEY = "k1.secret"
IDENTITY = Identity("host-a", "run-1", "mtl", "mtl-a", "mtl")


def make_config(version: int = 1, with_key: bool = True) -> Config:
    upstreams = tuple(
        Upstream(f"u{n}", f"127.0.0.1:{9000 + n}", "mtl", "mtl-a", 3, 10)
        for n in range(3)
    )
    key = StoredKey("k1", "salsa", "partenaires", SALT, digest_secret(SALT, "secret"))
    return Config(
        version=version,
        routes={
            "browse": Route("browse", "partenaires", "/browse", "web"),
            "confirm": Route(
                "confirm",
                "partenaires",
                "/confirm",
                "web",
                methods=("POST",),
                repeatable=False,
            ),
            "rival": Route("rival", "kurvehaeng", "/rival", "web"),
            "news": Route("news", "partenaires", "/news", "web", open_to_all=True),
        },
        pools={"web": Pool("web", "partenaires", upstreams)},
        organisations={"salsa": Organisation("salsa", "partenaires", 10.0, 10)},
        keys={"k1": key} if with_key else {},
    )


class FakeRuntime:
    """Holds a snapshot that tests replace by loading configurations."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        reducer = RootReducer((MembershipReducer(), ConfigReducer()))
        self._reducer = reducer
        self._core = reducer.initial(IDENTITY)
        self.snapshot: Snapshot = build_snapshot(self._core, clock.now_s())

    def load(self, config: Config) -> None:
        now_s = self._clock.now_s()
        self._core, _ = self._reducer.reduce(
            self._core, ConfigLoaded(now_s, config, now_s)
        )
        self.snapshot = build_snapshot(self._core, now_s)


@dataclass
class FakeAdmission(Admission):
    """Counts tokens, each of which is valid for `valid_s`."""

    clock: ManualClock
    valid_s: float = 1.0
    available: int = 100
    taken: int = 0
    returned: int = 0

    def admit(self, organisation: str, deadline_s: float) -> Admitted | Refusal:
        if self.taken >= self.available:
            return Refusal(RefusalReason.LIMIT_EXCEEDED)
        self.taken += 1
        return Admitted(self.clock.now_s() + self.valid_s)

    def return_token(self, organisation: str, admitted: Admitted) -> None:
        self.returned += 1


@dataclass
class FakeChooser(UpstreamChooser):
    """Chooses upstreams in order; `before_reserve` runs while a request waits.

    After `busy_after` reservations the pool is busy.
    """

    before_reserve: Callable[[], None] | None = None
    busy_after: int = 100
    reserved: int = 0
    released: list[Observation] = field(default_factory=list)

    def reserve(
        self,
        pool: Pool,
        organisation: str,
        excluded: object,
        deadline_s: float,
    ) -> Reservation | Refusal:
        if self.before_reserve is not None:
            self.before_reserve()
        if self.reserved >= self.busy_after:
            return Refusal(RefusalReason.POOL_BUSY)
        candidates = [u for u in pool.upstreams if u.name not in excluded]
        if not candidates:
            return Refusal(RefusalReason.POOL_BUSY)
        self.reserved += 1
        return Reservation(pool.name, candidates[0])

    def release(self, reservation: Reservation, observation: Observation) -> None:
        self.released.append(observation)


class FakeMoves:
    """Behaves as if no route had a version move."""

    def choose_pool(self, config: Config, route: Route) -> Pool:
        return config.pools[route.pool]

    def record_result(
        self, route: Route, pool: str, failed: bool, latency_s: float
    ) -> None:
        pass


@dataclass
class FakeBudgets:
    """Refuses the regions in `full_regions`, and logs what becomes of reservations."""

    full_regions: dict[str, RefusalReason] = field(default_factory=dict)
    valid_until_s: float = float("inf")
    log: list[tuple[str, str]] = field(default_factory=list)

    def reserve(
        self, route: str, region: str, request_bytes: int, deadline_s: float
    ) -> BudgetReservation | Refusal:
        if region in self.full_regions:
            return Refusal(self.full_regions[region])
        token = mock.Mock(valid_until_s=self.valid_until_s)
        return BudgetReservation(route, region, (mock.Mock(tokens=(token,)),))

    def mark_sent(self, reservation: BudgetReservation) -> None:
        self.log.append(("sent", reservation.region))

    def settle(self, reservation: BudgetReservation, answer_bytes: int) -> None:
        self.log.append(("settled", reservation.region))

    def cancel(self, reservation: BudgetReservation) -> None:
        self.log.append(("cancelled", reservation.region))


ScriptedResult = UpstreamAnswer | UpstreamFailure


@dataclass
class FakeClient:
    """Returns scripted results and records the requests sent."""

    script: list[ScriptedResult] = field(default_factory=list)
    sent: list[tuple[str, UpstreamRequest]] = field(default_factory=list)

    def send(self, upstream: Upstream, request: UpstreamRequest) -> ScriptedResult:
        self.sent.append((upstream.name, request))
        if self.script:
            return self.script.pop(0)
        return UpstreamAnswer(200, (("Content-Type", "text/plain"),), b"whole", 0.01)


class RelayFixture:
    """A relay with fakes of everything it calls, on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.runtime = FakeRuntime(self.clock)
        self.runtime.load(make_config())
        self.tables = MemoryTableService()
        self.admission = FakeAdmission(self.clock)
        self.chooser = FakeChooser()
        self.client = FakeClient()
        self.budgets = FakeBudgets()
        self.relay = Relay(
            self.runtime,
            self.clock,
            IDENTITY,
            self.admission,
            self.chooser,
            UnbatchedIdempotencyRegistry(self.tables),
            self.client,
            FakeMoves(),
            Telemetry("host-a"),
            self.budgets,
        )

    def get(self, path: str = "/browse/x", key: str = KEY) -> object:
        return self.relay.relay(CallerRequest("GET", path, path, (), b"", key))

    def confirm(self, idempotency_key: str = "p1", body: bytes = b"pair") -> object:
        request = CallerRequest(
            "POST", "/confirm", "/confirm", (), body, KEY, idempotency_key
        )
        return self.relay.relay(request)

"""Which host lends which portion."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables
import xxhash

from cardamomquay.currency import ConfigState
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.platform import Committed
from cardamomquay.platform import Condition
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.quota._messages import CONFIG_IN_FORCE_S
from cardamomquay.quota._messages import NEW_LENDER_SILENCE_S
from cardamomquay.quota._messages import Limit
from cardamomquay.quota._portions import Portion
from cardamomquay.quota._portions import portions_of
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.platform import JsonValue

LENDERS = "lenders"
HOST_LEASES = "host_leases"
READ_INTERVAL_S = 1.0
READ_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ReadLenders(Effect):
    """Scan the lender rows, then the host leases; the answer is `LendersRead`."""


@dataclass(frozen=True, slots=True)
class WriteLender(Effect):
    """Commit a transaction on a lender row; the answer is `LenderWritten`."""

    resource: str
    fence: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class StartLender(Effect):
    """Create a `Lender`, replacing one of the same resource."""

    resource: str
    fence: int
    limit: Limit
    lease_fence: int
    silence_s: float


@dataclass(frozen=True, slots=True)
class ChangeLender(Effect):
    """Apply a new limit to a `Lender`."""

    resource: str
    limit: Limit


@dataclass(frozen=True, slots=True)
class StopLender(Effect):
    """Drop a `Lender`; it lends nothing from here on."""

    resource: str


@dataclass(frozen=True, slots=True)
class LendersRead(Event):
    """Rows of the tables `lenders` and `host_leases`, possibly old ones."""

    lenders: tuple[Row, ...]
    leases: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class LendersReadFailed(Event):
    """The read failed; all that is held stays held."""


@dataclass(frozen=True, slots=True)
class LenderWritten(Event):
    """Outcome of a `WriteLender` effect."""

    resource: str
    fence: int
    outcome: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class Holder:
    """A lender row as last seen; `host` is empty after a release."""

    host: str
    incarnation: str
    fence: int
    version: int


@dataclass(frozen=True, slots=True)
class Held:
    """A portion that this host lends."""

    portion: Portion
    fence: int


@dataclass(frozen=True, slots=True)
class QuotaState:
    """State of the quota part.

    Parameters
    ----------
    portions : immutables.Map of str to Portion
        Of the configuration in force, by resource.
    config_version : int
    holders : immutables.Map of str to Holder
        Last seen rows, by resource; the shell's `LenderDirectory` reads them.
    held : immutables.Map of str to Held
    claims : immutables.Map of str to int
        Fences of transactions under way, by resource.
    lease_fence : int
        Fence of the host lease under which `held` was claimed.
    read_due_s : float
    leaving : bool
    """

    portions: immutables.Map[str, Portion] = immutables.Map()
    config_version: int = 0
    holders: immutables.Map[str, Holder] = immutables.Map()
    held: immutables.Map[str, Held] = immutables.Map()
    claims: immutables.Map[str, int] = immutables.Map()
    lease_fence: int = 0
    read_due_s: float = float("-inf")
    leaving: bool = False


Result = tuple[QuotaState, tuple[Effect, ...]]


def choose_host(resource: str, hosts: Iterable[str]) -> str | None:
    """Choose a host by rendezvous hashing; the order of `hosts` does not matter."""
    return max(
        hosts,
        key=lambda host: (xxhash.xxh64_intdigest(f"{resource}\0{host}".encode()), host),
        default=None,
    )


class QuotaPart(Part[QuotaState]):
    """Claims and releases lender rows."""

    state_type = QuotaState

    def initial(self, identity: Identity) -> QuotaState:
        return QuotaState()

    def reduce(self, own: QuotaState, event: Event, core: CoreState) -> Result:
        match event:
            case Tick():
                return _tick(own, event, core)
            case LendersRead():
                return _read(own, event, core)
            case LendersReadFailed():
                return replace(own, read_due_s=event.now_s + READ_INTERVAL_S), ()
            case LenderWritten():
                return _written(own, event, core)
            case LeaveRequested():
                return _release(replace(own, leaving=True), own.held)
            case _:
                return own, ()


def _tick(own: QuotaState, event: Tick, core: CoreState) -> Result:
    own, effects = _apply_config(own, core)
    lease = core.part(LeaseState)
    if lease.fence != own.lease_fence:
        # Another host may have taken over what was held under the old lease.
        stops = tuple(StopLender(resource) for resource in own.held)
        own = replace(own, held=immutables.Map(), lease_fence=lease.fence)
        effects += stops
    if event.now_s >= own.read_due_s and own.config_version > 0:
        own = replace(own, read_due_s=event.now_s + READ_TIMEOUT_S)
        effects += (ReadLenders(),)
    return own, effects


def _apply_config(own: QuotaState, core: CoreState) -> Result:
    config = core.part(ConfigState).config
    if config is None or config.version == own.config_version:
        return own, ()
    portions = {
        portion.resource: portion
        for parts in portions_of(config).values()
        for portion in parts
    }
    removed = immutables.Map(
        {name: held for name, held in own.held.items() if name not in portions}
    )
    own, effects = _release(own, removed)
    held = own.held
    for name, item in own.held.items():
        if portions[name] != item.portion:
            held = held.set(name, Held(portions[name], item.fence))
            effects += (ChangeLender(name, portions[name].limit),)
    own = replace(
        own,
        portions=immutables.Map(portions),
        config_version=config.version,
        held=held,
    )
    return own, effects


def _release(own: QuotaState, released: immutables.Map[str, Held]) -> Result:
    """Stop lending first, then clear the rows; fences of kept rows never fall."""
    effects: list[Effect] = []
    held = own.held
    for name, item in released.items():
        held = held.delete(name)
        effects.append(StopLender(name))
        holder = own.holders.get(name)
        if holder is not None and holder.fence == item.fence:
            effects.append(_write(name, "", "", item.fence, holder.version))
    return replace(own, held=held), tuple(effects)


def _read(own: QuotaState, event: LendersRead, core: CoreState) -> Result:
    holders = own.holders
    for row in event.lenders:
        known = holders.get(row.key.key)
        # A scan may show an older snapshot than the last one.
        if known is None or row.version > known.version:
            holders = holders.set(row.key.key, _holder(row))
    own = replace(own, holders=holders, read_due_s=event.now_s + READ_INTERVAL_S)
    effects: tuple[Effect, ...] = ()
    for name, item in own.held.items():
        holder = own.holders.get(name)
        if holder is not None and holder.fence > item.fence:
            own = replace(own, held=own.held.delete(name))
            effects += (StopLender(name),)
    lease = core.part(LeaseState)
    if own.leaving or not is_lease_valid(lease, event.now_s):
        return own, effects
    if lease.fence != own.lease_fence:
        return own, effects
    leases = {row.key.key: row for row in event.leases if row.value is not None}
    for name, portion in own.portions.items():
        if name in own.held or name in own.claims:
            continue
        own, wanted = _consider(own, portion, leases, event, core)
        effects += wanted
    return own, effects


def _consider(
    own: QuotaState,
    portion: Portion,
    leases: dict[str, Row],
    event: LendersRead,
    core: CoreState,
) -> Result:
    """Claim a portion if nobody holds it and this host is the one to do so."""
    identity = core.identity
    name = portion.resource
    holder = own.holders.get(name, Holder("", "", 0, 0))
    condition: tuple[Condition, ...] = ()
    # A row that names this host after a lost answer or a lost lease blocks all others.
    own_row = (holder.host, holder.incarnation) == (identity.host, identity.incarnation)
    candidates = _candidates(portion, core, event.now_s)
    if not own_row and choose_host(name, candidates) != identity.host:
        return own, ()
    if holder.host and not own_row:
        lease = leases.get(holder.host)
        if lease is not None and _incarnation(lease) == holder.incarnation:
            return own, ()
        # The scan of the leases may be an old one; the condition is checked now.
        key = RowKey(HOST_LEASES, holder.host)
        condition = (Condition(key, 0 if lease is None else lease.version),)
    fence = holder.fence + 1
    write = _write(
        name,
        identity.host,
        identity.incarnation,
        fence,
        holder.version,
        others=condition,
    )
    return replace(own, claims=own.claims.set(name, fence)), (write,)


def _written(own: QuotaState, event: LenderWritten, core: CoreState) -> Result:
    if own.claims.get(event.resource) != event.fence:
        return own, ()
    own = replace(own, claims=own.claims.delete(event.resource))
    portion = own.portions.get(event.resource)
    if not isinstance(event.outcome, Committed) or portion is None:
        # After a lost answer the next read shows the row with this host's name. It
        # is then claimed again with a higher fence, so no lender starts unseen.
        return own, ()
    identity = core.identity
    holder = Holder(
        identity.host, identity.incarnation, event.fence, event.outcome.revision
    )
    own = replace(own, holders=own.holders.set(event.resource, holder))
    held = own.held.set(event.resource, Held(portion, event.fence))
    own = replace(own, held=held)
    if own.leaving:
        return _release(own, immutables.Map({event.resource: held[event.resource]}))
    # The first lender ever may be one of a new division of a limit, whose other
    # portions may still be lent at their old, higher rates.
    silence_s = CONFIG_IN_FORCE_S if event.fence == 1 else NEW_LENDER_SILENCE_S
    start = StartLender(
        event.resource, event.fence, portion.limit, own.lease_fence, silence_s
    )
    return own, (start,)


def _candidates(portion: Portion, core: CoreState, now_s: float) -> list[str]:
    """Live hosts of the portion's region, or all live hosts if it has none."""
    members = core.part(MembershipState)
    identity = core.identity
    regions = {
        name: member.record.region
        for name, member in members.members.items()
        if members.state_of(name, now_s) is MemberState.LIVE
    }
    if not members.leaving:
        regions[identity.host] = identity.region
    local = [name for name, region in regions.items() if region == portion.region]
    return local or list(regions)


def _write(
    resource: str,
    host: str,
    incarnation: str,
    fence: int,
    version: int,
    *,
    others: tuple[Condition, ...] = (),
) -> WriteLender:
    key = RowKey(LENDERS, resource)
    value: dict[str, JsonValue] = {
        "host": host,
        "incarnation": incarnation,
        "fence": fence,
    }
    conditions = (Condition(key, version), *others)
    return WriteLender(resource, fence, Transaction(conditions, (Write(key, value),)))


def _holder(row: Row) -> Holder:
    value = row.value or {}
    fence = value.get("fence")
    return Holder(
        str(value.get("host", "")),
        str(value.get("incarnation", "")),
        fence if isinstance(fence, int) else 0,
        row.version,
    )


def _incarnation(row: Row) -> str:
    return str((row.value or {}).get("incarnation", ""))

"""Simulates hosts that lend and borrow tokens, with faults."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.leases import LEASE_RENEWAL_INTERVAL_S
from cardamomquay.leases import LEASE_SAFETY_MARGIN_S
from cardamomquay.leases import LEASE_TTL_S
from cardamomquay.leases import LeaseState
from cardamomquay.outcomes import Refusal
from cardamomquay.quota import NEW_LENDER_DELAY_S
from cardamomquay.quota import AdmittedWithToken
from cardamomquay.quota import BorrowedQuotaAdmission
from cardamomquay.quota import GrantStatus
from cardamomquay.quota import Portion
from cardamomquay.quota import TokenGrant
from cardamomquay.quota import TokenLender
from cardamomquay.quota import TokenRequest
from cardamomquay.quota import TokenTransport
from cardamomquay.quota import divide_limit
from cardamomquay.quota import largest_excess
from cardamomquay.reducer import Identity
from cardamomquay_dev.simulated_time import EventLoop

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from random import Random

    from cardamomquay.admission import Admission
    from cardamomquay.admission import Admitted
    from cardamomquay.config import Organisation

MAINTENANCE_INTERVAL_S = 0.1


@dataclass(eq=False)
class _WaitingRequest:
    organisation: str
    send_delay_s: float


@dataclass
class Host:
    """One simulated daemon.

    `paused_until_s` delays everything that the host does. With `cut_off_from_store` it
    still reaches the other hosts. `lease_renewed_s` is the time of the latest renewal
    of its lease in the store, or of its extension while the store is down.
    """

    name: str
    region: str
    incarnation: int = 0
    alive: bool = True
    paused_until_s: float = 0.0
    cut_off_from_store: bool = False
    lease: LeaseState = field(default_factory=LeaseState)
    lease_renewed_s: float = float("-inf")
    lenders: dict[str, TokenLender] = field(default_factory=dict)
    admission: Admission | None = None
    next_retry_s: float = float("-inf")
    waiting: list[_WaitingRequest] = field(default_factory=list)


@dataclass
class LinkFaults:
    """Faults of messages between hosts.

    The next `lose_answers` answers are lost, and the next `duplicates` requests arrive
    a second time, `duplicate_delay_s` later than the first. `jitter_s` is the maximum
    random delay that is added to a message, which reorders messages. `stale_view_share`
    is the share of requests that go to the previous holder of a resource.
    """

    lose_answers: int = 0
    duplicates: int = 0
    duplicate_delay_s: float = 0.3
    jitter_s: float = 0.0
    stale_view_share: float = 0.0


class _Transport(TokenTransport):
    def __init__(self, fleet: LendingFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    def borrow(self, request: TokenRequest) -> Future[TokenGrant]:
        return self._fleet.call_lender(self._host, request)


class LendingFleet:
    """Simulated hosts with lenders and admission, and the messages between them.

    Parameters
    ----------
    hosts : mapping of str to str
        Region of each host.
    organisations : sequence of Organisation
    random : Random
    local_delay_s, remote_delay_s : float
        One-way delay within a region and between regions.

    Attributes
    ----------
    portions : dict of str to tuple of Portion
        By organisation.
    holders, previous_holders : dict of str to str
        Host that lends a portion, and the last one before it, by the portion's
        resource.
    fences : dict of str to int
        By resource: number of claims so far.
    runs, portion_runs : dict of str to list of float
        Times at which requests were sent to upstreams, by organisation, and by the
        resource of the token that they used.
    refusals : list of tuple
        Time, organisation and reason of each refused request.
    borrow_calls : int
        Number of requests that hosts sent to lenders.
    """

    def __init__(
        self,
        hosts: Mapping[str, str],
        organisations: Sequence[Organisation],
        random: Random,
        *,
        local_delay_s: float = 0.0005,
        remote_delay_s: float = 0.035,
    ) -> None:
        self.loop = EventLoop()
        self.random = random
        self.faults = LinkFaults()
        self.local_delay_s = local_delay_s
        self.remote_delay_s = remote_delay_s
        self.hosts = {name: Host(name, region) for name, region in hosts.items()}
        self.portions: dict[str, tuple[Portion, ...]] = {}
        self.holders: dict[str, str] = {}
        self.previous_holders: dict[str, str] = {}
        self.fences: dict[str, int] = {}
        self.runs: dict[str, list[float]] = {}
        self.portion_runs: dict[str, list[float]] = {}
        self.refusals: list[tuple[float, str, str]] = []
        self.borrow_calls = 0
        self.store_down = False
        self.set_organisations(organisations)
        for host in self.hosts.values():
            self._start(host)
        for portions in self.portions.values():
            for portion in portions:
                candidates = [
                    h.name for h in self.hosts.values() if h.region == portion.region
                ]
                self.claim(portion, random.choice(candidates))

    def set_organisations(self, organisations: Sequence[Organisation]) -> None:
        """Apply the organisations' limits on all hosts at the same time."""
        regions = sorted({host.region for host in self.hosts.values()})
        now_s = self.loop.now_s()
        self.portions = {o.name: divide_limit(o, regions) for o in organisations}
        for host in self.hosts.values():
            if isinstance(host.admission, BorrowedQuotaAdmission):
                host.admission.apply(self.portions)
        for portions in self.portions.values():
            for portion in portions:
                name = self.holders.get(portion.resource)
                lender = name and self.hosts[name].lenders.get(portion.resource)
                if lender:
                    lender.change_limit(portion.limit, now_s)

    def claim(self, portion: Portion, name: str) -> None:
        """Make a host the lender of a portion, as a committed claim does."""
        host = self.hosts[name]
        fence = self.fences.get(portion.resource, 0) + 1
        self.fences[portion.resource] = fence
        self.previous_holders[portion.resource] = self.holders.get(
            portion.resource, name
        )
        self.holders[portion.resource] = name
        host.lenders[portion.resource] = TokenLender(
            portion.resource,
            fence,
            portion.limit,
            lease=lambda: host.lease,
            lease_fence=host.lease.fence,
            now_s=self.loop.now_s(),
            start_delay_s=NEW_LENDER_DELAY_S,
        )

    def take_over(self, portion: Portion, name: str) -> bool:
        """Claim a portion if the lease of its holder can be reclaimed by now.

        Returns whether it has been claimed.
        """
        holder = self.hosts[self.holders[portion.resource]]
        unchanged_s = self.loop.now_s() - holder.lease_renewed_s
        if self.store_down or unchanged_s < LEASE_TTL_S:
            return False
        self.claim(portion, name)
        return True

    def kill(self, name: str) -> None:
        """Stop a host, which loses its memory."""
        self.hosts[name].alive = False
        self.hosts[name].lenders.clear()

    def restart(self, name: str) -> None:
        """Start a killed host again with a new incarnation."""
        host = self.hosts[name]
        host.incarnation += 1
        host.alive = True
        self._start(host)

    def pause(self, name: str, seconds: float) -> None:
        """Suspend a host for some seconds; it keeps its memory."""
        self.hosts[name].paused_until_s = self.loop.now_s() + seconds

    def request(self, name: str, organisation: str, send_delay_s: float = 0.0) -> None:
        """Send a caller's request to a host.

        Parameters
        ----------
        name, organisation : str
        send_delay_s : float, default=0.0
            Time from admission to sending the request to an upstream, in seconds.
        """
        host = self.hosts[name]
        self._run_on(host, partial(self._admit, host, organisation, send_delay_s))

    def excess(self, organisation: Organisation, from_s: float = 0.0) -> float:
        """Return the largest excess over the limit of requests sent since `from_s`."""
        limit = divide_limit(organisation, [""])[0].limit
        runs = self.runs.get(organisation.name, [])
        return largest_excess([at_s for at_s in runs if at_s >= from_s], limit)

    def portion_excess(self, portion: Portion, from_s: float = 0.0) -> float:
        """Return the largest excess of the requests sent with tokens of one portion."""
        runs = self.portion_runs.get(portion.resource, [])
        return largest_excess([at_s for at_s in runs if at_s >= from_s], portion.limit)

    def call_lender(self, host: Host, request: TokenRequest) -> Future[TokenGrant]:
        """Send a request to the lender and return a future of its answer."""
        self.borrow_calls += 1
        fut: Future[TokenGrant] = Future()
        stale = self.random.random() < self.faults.stale_view_share
        view = self.previous_holders if stale else self.holders
        lender_host = self.hosts[view[request.resource]]
        delay_s = self._message_delay_s(host, lender_host)
        arrive = partial(self._deliver_request, host, lender_host, request, fut)
        self.loop.after(delay_s, partial(self._run_on, lender_host, arrive))
        if self.faults.duplicates > 0:
            self.faults.duplicates -= 1
            later_s = delay_s + self.faults.duplicate_delay_s
            self.loop.after(later_s, partial(self._run_on, lender_host, arrive))
        return fut

    def _deliver_request(
        self,
        host: Host,
        lender_host: Host,
        request: TokenRequest,
        fut: Future[TokenGrant],
    ) -> None:
        lender = lender_host.lenders.get(request.resource)
        if lender is None:
            grant = TokenGrant(GrantStatus.NOT_LENDER)
        else:
            grant = lender.lend(request, self.loop.now_s())
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return
        answer = partial(self._deliver_answer, host, fut, grant)
        delay_s = self._message_delay_s(host, lender_host)
        self.loop.after(delay_s, partial(self._run_on, host, answer))

    def _deliver_answer(
        self, host: Host, fut: Future[TokenGrant], grant: TokenGrant
    ) -> None:
        if not fut.done():
            fut.set_result(grant)
            self._retry_waiting(host)

    def _message_delay_s(self, one: Host, other: Host) -> float:
        if one is other:
            return 0.0
        same_region = one.region == other.region
        delay_s = self.local_delay_s if same_region else self.remote_delay_s
        return delay_s + self.random.uniform(0.0, self.faults.jitter_s)

    def _run_on(self, host: Host, call: Callable[[], None]) -> None:
        """Run a call on a host, after its pause if it is paused.

        The call is dropped if the host is not alive then, or has restarted meanwhile.
        """
        if not host.alive:
            return
        if host.paused_until_s > self.loop.now_s():
            incarnation = host.incarnation

            def resume() -> None:
                if host.incarnation == incarnation:
                    self._run_on(host, call)

            self.loop.at(host.paused_until_s, resume)
            return
        call()

    def _start(self, host: Host) -> None:
        host.paused_until_s = 0.0
        host.waiting.clear()
        self._renew_lease(host, host.incarnation)
        identity = Identity(host.name, str(host.incarnation), host.region, "", "")
        admission = BorrowedQuotaAdmission(
            self.loop.clock, _Transport(self, host), identity
        )
        admission.apply(self.portions)
        host.admission = admission
        self._maintain(host, host.incarnation)

    def _renew_lease(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation:
            return
        now_s = self.loop.now_s()
        if host.cut_off_from_store:
            pass
        elif not self.store_down:
            lost = now_s - host.lease_renewed_s >= LEASE_TTL_S
            fence = host.lease.fence + 1 if lost else host.lease.fence
            host.lease = LeaseState(fence, now_s + LEASE_TTL_S - LEASE_SAFETY_MARGIN_S)
            host.lease_renewed_s = now_s
        elif host.lease.valid_until_s > now_s:
            # A confirmed outage of the store extends leases: no host can reclaim them.
            until_s = now_s + LEASE_TTL_S - LEASE_SAFETY_MARGIN_S
            host.lease = LeaseState(host.lease.fence, until_s)
            host.lease_renewed_s = now_s
        again = partial(self._renew_lease, host, incarnation)
        self.loop.after(LEASE_RENEWAL_INTERVAL_S, partial(self._run_on, host, again))

    def _maintain(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation:
            return
        if isinstance(host.admission, BorrowedQuotaAdmission):
            host.admission.maintain()
            self._retry_waiting(host)
        again = partial(self._maintain, host, incarnation)
        self.loop.after(MAINTENANCE_INTERVAL_S, partial(self._run_on, host, again))

    def _admit(self, host: Host, organisation: str, send_delay_s: float) -> None:
        admission = host.admission
        assert admission is not None
        if not isinstance(admission, BorrowedQuotaAdmission):
            outcome = admission.admit(organisation, self.loop.now_s())
            self._finish_admission(host, organisation, send_delay_s, outcome)
            return
        first = admission.try_admit(organisation, first=True)
        if first is not None:
            self._finish_admission(host, organisation, send_delay_s, first)
            return
        waiting = _WaitingRequest(organisation, send_delay_s)
        host.waiting.append(waiting)
        self._schedule_retry(host, admission.seconds_until_retry(organisation))
        give_up = partial(self._give_up, host, admission, waiting)
        self.loop.after(admission.max_wait_s, partial(self._run_on, host, give_up))

    def _schedule_retry(self, host: Host, delay_s: float) -> None:
        """Retry waiting requests after a delay, as waiting threads of a daemon do."""
        due_s = self.loop.now_s() + delay_s
        if delay_s == float("inf") or self.loop.now_s() < host.next_retry_s <= due_s:
            return
        host.next_retry_s = due_s
        self.loop.at(due_s, partial(self._run_on, host, partial(self._retry, host)))

    def _retry(self, host: Host) -> None:
        host.next_retry_s = float("-inf")
        self._retry_waiting(host)

    def _give_up(
        self, host: Host, admission: BorrowedQuotaAdmission, waiting: _WaitingRequest
    ) -> None:
        if waiting in host.waiting:
            refusal = admission.refuse(waiting.organisation)
            self._end_wait(host, admission, waiting, refusal)

    def _retry_waiting(self, host: Host) -> None:
        """Try to admit waiting requests, as the notified threads of a daemon do."""
        admission = host.admission
        assert isinstance(admission, BorrowedQuotaAdmission)
        blocked = set()
        for waiting in tuple(host.waiting):
            if waiting.organisation in blocked:
                continue
            outcome = admission.try_admit(waiting.organisation)
            if outcome is None:
                blocked.add(waiting.organisation)
                self._schedule_retry(
                    host, admission.seconds_until_retry(waiting.organisation)
                )
            else:
                self._end_wait(host, admission, waiting, outcome)

    def _end_wait(
        self,
        host: Host,
        admission: BorrowedQuotaAdmission,
        waiting: _WaitingRequest,
        outcome: Admitted | Refusal,
    ) -> None:
        host.waiting.remove(waiting)
        admission.end_wait(waiting.organisation)
        self._finish_admission(
            host, waiting.organisation, waiting.send_delay_s, outcome
        )

    def _finish_admission(
        self,
        host: Host,
        organisation: str,
        send_delay_s: float,
        outcome: Admitted | Refusal,
    ) -> None:
        if isinstance(outcome, Refusal):
            refusal = (self.loop.now_s(), organisation, str(outcome.reason))
            self.refusals.append(refusal)
            return
        send = partial(self._send, host, organisation, outcome)
        if send_delay_s > 0:
            self.loop.after(send_delay_s, partial(self._run_on, host, send))
        else:
            send()

    def _send(self, host: Host, organisation: str, admitted: Admitted) -> None:
        assert host.admission is not None
        now_s = self.loop.now_s()
        if now_s >= admitted.valid_until_s:
            self.refusals.append((now_s, organisation, "expired"))
            return
        host.admission.mark_sent(organisation, admitted)
        self.runs.setdefault(organisation, []).append(now_s)
        if isinstance(admitted, AdmittedWithToken):
            portion_runs = self.portion_runs.setdefault(admitted.token.resource, [])
            portion_runs.append(now_s)

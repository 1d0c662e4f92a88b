"""Converts slot requests and grants to and from messages of the peer protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.balancing import SlotCount
from cardamomquay.balancing import SlotGrant
from cardamomquay.balancing import SlotRequest
from cardamomquay.balancing import UpstreamReport
from cardamomquay_daemon.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable


def request_to_wire(request: SlotRequest) -> Any:
    """Return the message of a slot request."""
    return peer_pb2.SlotRequest(
        pool=request.pool,
        region=request.region,
        borrower=request.borrower,
        incarnation=request.incarnation,
        sequence=request.sequence,
        holding=_counts_to_wire(request.holding),
        holding_valid=request.holding_valid,
        demand=request.demand,
        wanted=request.wanted,
        avoid=request.avoid,
        zone=request.zone,
        reports=[
            peer_pb2.UpstreamReport(
                upstream=report.upstream,
                answered=report.answered,
                failed=report.failed,
                shed=report.shed,
                latency_sum_s=report.latency_sum_s,
            )
            for report in request.reports
        ],
    )


def request_from_wire(message: Any) -> SlotRequest:
    """Return the slot request of a message."""
    return SlotRequest(
        pool=message.pool,
        region=message.region,
        borrower=message.borrower,
        incarnation=message.incarnation,
        sequence=message.sequence,
        holding=_counts_from_wire(message.holding),
        holding_valid=message.holding_valid,
        demand=message.demand,
        wanted=message.wanted,
        avoid=tuple(message.avoid),
        zone=message.zone,
        reports=tuple(
            UpstreamReport(
                report.upstream,
                report.answered,
                report.failed,
                report.shed,
                report.latency_sum_s,
            )
            for report in message.reports
        ),
    )


def grant_to_wire(grant: SlotGrant | None) -> Any:
    """Return the message of a grant; None is sent as ``lent=False``."""
    if grant is None:
        return peer_pb2.SlotGrant(lent=False)
    return peer_pb2.SlotGrant(
        lent=True,
        slots=_counts_to_wire(grant.slots),
        valid_s=grant.valid_s,
        keep=grant.keep,
        stopped=grant.stopped,
        contended=grant.contended,
        spare_connections=grant.spare_connections,
    )


def grant_from_wire(message: Any) -> SlotGrant | None:
    """Return the grant of a message, None if nothing was lent."""
    if not message.lent:
        return None
    return SlotGrant(
        slots=_counts_from_wire(message.slots),
        valid_s=message.valid_s,
        keep=message.keep,
        stopped=tuple(message.stopped),
        contended=message.contended,
        spare_connections=message.spare_connections,
    )


def _counts_to_wire(counts: Iterable[SlotCount]) -> list[Any]:
    return [
        peer_pb2.SlotCount(
            upstream=count.upstream, slots=count.slots, share=count.share
        )
        for count in counts
    ]


def _counts_from_wire(messages: Iterable[Any]) -> tuple[SlotCount, ...]:
    return tuple(
        SlotCount(message.upstream, message.slots, message.share)
        for message in messages
    )

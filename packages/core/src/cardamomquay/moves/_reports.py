"""Extracts the reports of moves from the member records that hosts exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.moves._counters import decode_report
from cardamomquay.moves._events import HostReportReceived

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomquay.membership import SentRecord

# Key of the encoded `HostReport` in the `extra` field of a member record.
MOVES_EXTRA_KEY = "moves"


def reports_of(
    event: ExchangeAnswered | ExchangeReceived, own_host: str
) -> Iterator[HostReportReceived]:
    """Yield the reports of other hosts that an exchange carried.

    Parameters
    ----------
    event : ExchangeAnswered or ExchangeReceived
    own_host : str
        Name of this host, whose own report is left out.

    Yields
    ------
    HostReportReceived
        `taken_at_s` is the time at which this host started its call, or received the
        call of another host, minus the stated age of the report.
    """
    if isinstance(event, ExchangeAnswered):
        age_base_s, records = event.started_s, event.records
    else:
        age_base_s, records = event.now_s, (event.sender_record,)
    for peer_record in records:
        report_event = _report_event(peer_record, age_base_s, event.now_s)
        if report_event is not None and report_event.host != own_host:
            yield report_event


def _report_event(
    peer_record: SentRecord, age_base_s: float, now_s: float
) -> HostReportReceived | None:
    record = peer_record.record
    text = record.extra.get(MOVES_EXTRA_KEY)
    report = None if text is None else decode_report(text)
    if report is None:
        return None
    taken_at_s = age_base_s - peer_record.heard_age_s
    return HostReportReceived(
        now_s, record.host, record.incarnation, taken_at_s, report
    )

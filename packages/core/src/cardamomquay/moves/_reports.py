"""Reports of other hosts, as exchanges between hosts carry them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.moves._events import ReportHeard
from cardamomquay.moves._windows import decode_report

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomquay.membership import PeerRecord

MOVES_EXTRA = "moves"


def reports_of(
    event: ExchangeAnswered | ExchangeReceived, own_host: str
) -> Iterator[ReportHeard]:
    """Yield the reports that an exchange carried, but for the own one.

    Parameters
    ----------
    event : ExchangeAnswered or ExchangeReceived
    own_host : str

    Yields
    ------
    ReportHeard
        Dated by the stated age, counted back from the start of a call.
    """
    if isinstance(event, ExchangeAnswered):
        sent_s, records = event.started_s, event.records
    else:
        sent_s, records = event.now_s, (event.own,)
    for stated in records:
        heard = _report(stated, sent_s, event.now_s)
        if heard is not None and heard.host != own_host:
            yield heard


def _report(stated: PeerRecord, sent_s: float, now_s: float) -> ReportHeard | None:
    record = stated.record
    text = record.extra.get(MOVES_EXTRA)
    report = None if text is None else decode_report(text)
    if report is None:
        return None
    taken_at_s = sent_s - stated.heard_age_s
    return ReportHeard(now_s, record.host, record.incarnation, taken_at_s, report)

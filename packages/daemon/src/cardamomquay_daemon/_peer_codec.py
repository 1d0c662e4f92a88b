"""Converts between the core's values and the messages of the peer protocol."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING
from typing import Any

import immutables

from cardamomquay.config import check_address
from cardamomquay.config import config_rows
from cardamomquay.config import parse_config
from cardamomquay.config_sync import ExchangeRequest
from cardamomquay.membership import KnownRecord
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import SentRecord
from cardamomquay.membership import StoreReport
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay_daemon.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.config import Config
    from cardamomquay.config_sync import ExchangeReply
    from cardamomquay.outcomes import Finding

# Upper bound of ages in messages; also the `confirmed_age_s` of a reply without
# evidence.
AGE_MAX_S = 1e9


def record_to_wire(sent: SentRecord) -> Any:
    """Return the message of a record."""
    record = sent.record
    return peer_pb2.MemberRecord(
        host=record.host,
        incarnation=record.incarnation,
        sequence=record.sequence,
        region=record.region,
        availability_zone=record.availability_zone,
        address=record.address,
        peer_address=record.peer_address,
        leaving=record.leaving,
        config_version=record.config_version,
        store_report=str(record.store_report),
        store_report_age_s=_clamp_age(sent.store_report_age_s),
        load=record.load,
        heard_age_s=_clamp_age(sent.heard_age_s),
        extra=dict(record.extra),
    )


def record_from_wire(message: Any) -> SentRecord | None:
    """Return the record of a message, None if it is not valid."""
    try:
        # Both are empty in a record without the fields that the receiver has already.
        if message.address or message.peer_address:
            check_address(message.address)
            check_address(message.peer_address)
        report = StoreReport(message.store_report)
    except ValueError:
        return None
    numbers = (message.store_report_age_s, message.heard_age_s, message.load)
    if not message.host or not all(math.isfinite(number) for number in numbers):
        return None
    record = MemberRecord(
        host=message.host,
        incarnation=message.incarnation,
        sequence=message.sequence,
        region=message.region,
        availability_zone=message.availability_zone,
        address=message.address,
        peer_address=message.peer_address,
        leaving=message.leaving,
        config_version=message.config_version,
        store_report=report,
        load=message.load,
        extra=immutables.Map(dict(message.extra)),
    )
    return SentRecord(record, message.heard_age_s, message.store_report_age_s)


def records_from_wire(messages: Sequence[Any]) -> tuple[SentRecord, ...]:
    """Return the valid records of messages."""
    records = (record_from_wire(message) for message in messages)
    return tuple(record for record in records if record is not None)


def request_to_wire(request: ExchangeRequest) -> Any:
    """Return the message of a request.

    It contains the sender's record, then host, incarnation and sequence of the records
    that the sender has of other hosts.
    """
    known = [
        peer_pb2.MemberRecord(
            host=entry.host, incarnation=entry.incarnation, sequence=entry.sequence
        )
        for entry in request.known_records
    ]
    return peer_pb2.ExchangeRequest(
        records=[record_to_wire(request.sender_record), *known],
        config_version=request.config_version,
    )


def request_from_wire(message: Any) -> ExchangeRequest | None:
    """Return the request of a message, None if the sender's record is not valid."""
    if not message.records:
        return None
    sender_record = record_from_wire(message.records[0])
    if sender_record is None or not sender_record.record.peer_address:
        return None
    known = tuple(
        KnownRecord(entry.host, entry.incarnation, entry.sequence)
        for entry in message.records[1:]
    )
    return ExchangeRequest(sender_record, known, message.config_version)


def reply_to_wire(reply: ExchangeReply) -> Any:
    """Return the message of a reply to an exchange request."""
    age_s = reply.confirmed_age_s
    return peer_pb2.ExchangeReply(
        records=[record_to_wire(record) for record in reply.records],
        config_version=reply.config_version,
        confirmed_age_s=_clamp_age(age_s if age_s is not None else AGE_MAX_S),
        has_evidence=age_s is not None,
    )


def config_to_wire(config: Config, confirmed_age_s: float) -> Any:
    """Return the message of a configuration and the age of its evidence."""
    rows = [[row.key.table, row.key.key, row.value] for row in config_rows(config)]
    return peer_pb2.ConfigReply(
        version=config.version,
        edit_id=config.edit_id,
        confirmed_age_s=_clamp_age(confirmed_age_s),
        rows=json.dumps(rows).encode(),
    )


def config_from_wire(message: Any) -> Config | tuple[Finding, ...]:
    """Return the configuration of a message, or findings if it is not valid.

    Raises
    ------
    TypeError, ValueError
        If the rows are not a JSON list of [table, key, value].
    """
    rows = [
        Row(RowKey(str(table), str(key)), 0, value)
        for table, key, value in json.loads(message.rows)
    ]
    return parse_config(message.version, message.edit_id, rows)


def _clamp_age(age_s: float) -> float:
    return min(max(0.0, age_s), AGE_MAX_S)

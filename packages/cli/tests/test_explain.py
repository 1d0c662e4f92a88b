from __future__ import annotations

import json
import unittest
from typing import Any

from cardamomquay_cli._explain import _lines
from cardamomquay_cli._explain import _parse
from cardamomquay_cli._explain import select_records


def request_done(request: str, reason: str, status: int, *tries: dict[str, Any]) -> Any:
    return {
        "message_type": "request_done",
        "number": 7101,
        "host": "h0",
        "timestamp": 100.0,
        "request": request,
        "route": "r",
        "service": "browse",
        "organisation": "salsa",
        "object": "7",
        "status": status,
        "reason": reason,
        "elapsed_s": 1.2,
        "config": 4,
        "config_age_s": 0.5,
        "tries": list(tries),
    }


def attempt(upstream: str, outcome: str) -> dict[str, Any]:
    return {
        "upstream": upstream,
        "zone": "a",
        "warm": True,
        "expected_s": 0.3,
        "occupied": 2.0,
        "outcome": outcome,
        "detail": "deadline",
        "took_s": 1.2,
    }


def host_event(kind: str, timestamp: float, host: str = "h0", **fields: Any) -> Any:
    return {"message_type": kind, "host": host, "timestamp": timestamp, **fields}


class ExplainTest(unittest.TestCase):
    """Guards against causes that are in the logs but missing from the explanation."""

    def explain(self, request: str, *records: Any) -> str:
        lines = [f"  12.5 h0 {json.dumps(record)}" for record in records]
        lines.insert(0, '  12.4 h0 {"message_type": "request_do')
        return "\n".join(_lines(select_records(_parse(lines), request, 5.0)))

    def test_sent_to_an_upstream_that_had_started_again(self) -> None:
        sent = attempt("i-1", "answered") | {"warming_up": True}
        text = self.explain(
            "a",
            request_done("a", "answered", 200, sent),
            host_event(
                "upstream_restart_suspected", 98.0, instance="i-1", source="lost"
            ),
            host_event("upstream_restart_suspected", 98.0, instance="i-2"),
        )
        self.assertIn("upstream warming up after a start", text)
        self.assertEqual(text.count("upstream_restart_suspected"), 1)

    def test_refused_by_a_limit(self) -> None:
        text = self.explain(
            "a", request_done("a", "limit_exceeded", 429), request_done("b", "x", 200)
        )
        self.assertIn("quota over all hosts", text)
        self.assertNotIn("b on h0", text)

    def test_timed_out_at_an_upstream(self) -> None:
        text = self.explain(
            "a",
            host_event("upstream_changed", 99.0, instance="i-1", state="draining"),
            host_event("upstream_changed", 99.0, instance="i-2", state="draining"),
            request_done("a", "upstream_timeout", 504, attempt("i-1", "timed_out")),
        )
        self.assertIn("attempt 1: i-1", text)
        self.assertIn("'instance': 'i-1'", text)
        self.assertNotIn("i-2", text)

    def test_failed_during_a_fault(self) -> None:
        text = self.explain(
            "a",
            host_event("store_lost", 96.0, reason="status_503"),
            host_event("store_lost", 90.0, reason="too_early"),
            host_event("store_lost", 96.0, host="h1", reason="elsewhere"),
            request_done("a", "configuration_stale", 503),
        )
        self.assertIn("4.00 s before: store_lost", text)
        for absent in ("too_early", "elsewhere"):
            self.assertNotIn(absent, text)

    def test_unknown_request(self) -> None:
        self.assertEqual(self.explain("z", request_done("a", "no_route", 404)), "")

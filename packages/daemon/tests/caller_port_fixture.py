from __future__ import annotations

import json
import socket
import threading
import unittest
from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from cardamomquay.clock import SystemClock
from cardamomquay.config import parse_config
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay_daemon._caller_messages import CallerRequest
from cardamomquay_daemon._caller_messages import RelayedAnswer
from cardamomquay_daemon._caller_port import CallerPort
from cardamomquay_daemon._server import make_server
from cardamomquay_daemon._settings import Limits
from cardamomquay_daemon._settings import TlsFiles
from cardamomquay_daemon._telemetry import Telemetry

IDLE_TIMEOUT_S = 0.6
LIMITS = Limits(
    request_threads=4,
    header_bytes=2048,
    body_bytes=4096,
    idle_timeout_s=IDLE_TIMEOUT_S,
)
SOCKET_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        return json.loads(self.body)


class RecordingRelay:
    """Answers every request with the body of the request, and records the requests.

    If `error` is set, it is raised instead of answering.
    """

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.error: Exception | None = None

    def relay(self, req: CallerRequest) -> RelayedAnswer:
        self.requests.append(req)
        if self.error is not None:
            raise self.error
        return RelayedAnswer(200, (("X-Seen", "yes"),), req.body)


def read_answer(stream: Any) -> Answer | None:
    """Read one answer; return None if the connection has ended."""
    line = stream.readline()
    if not line:
        return None
    status = int(line.split()[1])
    headers = {}
    while (line := stream.readline()) not in {b"\r\n", b""}:
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    return Answer(status, headers, stream.read(int(headers.get("content-length", 0))))


class CallerPortTestCase(unittest.TestCase):
    """Base class that runs a caller port on a real server, with a recording relay."""

    tls: TlsFiles | None = None

    def setUp(self) -> None:
        self.relay = RecordingRelay()
        self.telemetry = Telemetry("host-0")
        rows = (
            Row(RowKey("regions", "mtl"), 1, {"owner": "a", "capacity_per_s": 1.0}),
        )
        config = parse_config(1, "e1", rows)
        identity = SimpleNamespace(host="host-0", region="mtl")
        core = SimpleNamespace(identity=identity)
        runtime: Any = SimpleNamespace(
            snapshot=SimpleNamespace(config=config, core=core)
        )
        relay: Any = self.relay
        self.port = CallerPort(
            runtime, SystemClock(), relay, self.telemetry, LIMITS.body_bytes
        )
        server = make_server(
            "127.0.0.1:0", self.port, LIMITS, self.tls, self.telemetry.record_refusal
        )
        self.address = ("127.0.0.1", server.bind_addr[1])
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(server.stop)

    def connect(self) -> socket.socket:
        conn = socket.create_connection(self.address, SOCKET_TIMEOUT_S)
        self.addCleanup(conn.close)
        return conn

    def exchange(self, data: bytes) -> list[Answer]:
        """Send bytes, shut down the sending side and read all answers."""
        conn = self.connect()
        conn.sendall(data)
        conn.shutdown(socket.SHUT_WR)
        answers = []
        with conn.makefile("rb") as stream:
            while (answer := read_answer(stream)) is not None:
                answers.append(answer)
        return answers

    def refusal_counts(self) -> Counter[str]:
        counts = self.telemetry.counts()
        return Counter(
            {k.removeprefix("refused."): v for k, v in counts.items() if "refused" in k}
        )

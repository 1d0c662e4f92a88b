from __future__ import annotations

import json
import socket
import tempfile
import threading
import time
import unittest
from contextlib import ExitStack
from contextlib import closing
from dataclasses import replace
from pathlib import Path

import immutables
import trustme

from cardamomquay.clock import SystemClock
from cardamomquay.config import Config
from cardamomquay.config import Organisation
from cardamomquay.config import Pool
from cardamomquay.config import Route
from cardamomquay.config import StoredKey
from cardamomquay.config import Upstream
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import exchange_request
from cardamomquay.membership import ExtraChanged
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MembershipReducer
from cardamomquay.membership import MembershipState
from cardamomquay.platform import ListedHost
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay_daemon import _peer_codec
from cardamomquay_daemon._peer import PeerFailure
from cardamomquay_daemon._peer import PeerNode
from cardamomquay_daemon._runtime import Runtime
from cardamomquay_daemon._settings import TlsFiles
from cardamomquay_daemon._telemetry import Telemetry
from cardamomquay_daemon.wire import peer_pb2

CONFIG = Config(
    version=7,
    edit_id="edit-7",
    routes={"r": Route("r", "owner", "/r", "p", organisations=("o",))},
    pools={"p": Pool("p", "owner", (Upstream("u", "127.0.0.1:1", "x", "x-a", 3, 9),))},
    organisations={"o": Organisation("o", "owner", 10.0, 5)},
    keys={"k": StoredKey("k", "o", "owner", "00", "a" * 64)},
)


def free_port() -> int:
    with closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Node:
    """A host with a reducer and a peer port, without the other parts of a daemon."""

    def __init__(self, name: str, tls: TlsFiles | None = None) -> None:
        self.clock = SystemClock()
        telemetry = Telemetry(name)
        self.identity = Identity(
            name, "1", "mtl", "mtl-a", "mtl", "127.0.0.1:1", f"127.0.0.1:{free_port()}"
        )
        reducer = RootReducer((MembershipReducer(), ConfigReducer()))
        self.runtime = Runtime(reducer, self.identity, self.clock, telemetry, 1000)
        self.peers = PeerNode(self.runtime, self.clock, self.identity, telemetry, tls)
        self.runtime.add_handlers(self.peers.handlers())

    def post_host_list(self, *nodes: Node) -> None:
        listed = tuple(
            ListedHost(
                n.identity.host, n.identity.address, n.identity.peer_address, "mtl", "a"
            )
            for n in nodes
        )
        self.runtime.post(HostsListed(self.clock.now_s(), listed))

    def load_config(self, config: Config) -> None:
        now_s = self.clock.now_s()
        self.runtime.post(ConfigLoaded(now_s, config, now_s))

    def has_report_from(self, host: str) -> bool:
        members = self.runtime.snapshot.core.state_of(MembershipState).members
        return host in members and members[host].has_dated_record

    def version(self) -> int:
        return self.runtime.snapshot.core.state_of(ConfigState).version


class PeerTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)

    def start(self, *nodes: Node) -> None:
        for node in nodes:
            self.stack.enter_context(node.runtime.running())
            self.stack.enter_context(node.peers.running())

    def wait(self, condition: object, timeout_s: float = 5.0) -> None:
        assert callable(condition)
        end_s = time.monotonic() + timeout_s
        while not condition():
            self.assertLess(time.monotonic(), end_s, "condition not met in time")
            # The nodes use real sockets and threads, so the condition is polled.
            time.sleep(0.02)


class ExchangeTest(PeerTestCase):
    """Guards against hosts that get no reports from each other over real sockets."""

    def test_hosts_exchange_records_and_the_configuration(self) -> None:
        one, other = Node("one"), Node("other")
        self.start(one, other)
        # Only `one` has the other in its host list.
        one.post_host_list(other)
        self.wait(lambda: one.has_report_from("other") and other.has_report_from("one"))
        one.load_config(CONFIG)
        self.wait(lambda: other.version() == CONFIG.version)
        state = other.runtime.snapshot.core.state_of(ConfigState)
        self.assertEqual(state.config, CONFIG)

    def test_extra_entries_reach_the_peer(self) -> None:
        one, other = Node("one"), Node("other")
        self.start(one, other)
        one.post_host_list(other)
        one.runtime.post(ExtraChanged(one.clock.now_s(), "windows", "{}"))

        def has_extra_entry() -> bool:
            members = other.runtime.snapshot.core.state_of(MembershipState).members
            return "one" in members and "windows" in members["one"].record.extra

        self.wait(has_extra_entry)

    def test_peer_that_does_not_answer_does_not_delay_the_others(self) -> None:
        one, other = Node("one"), Node("other")
        silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        self.start(one, other)
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        listed = [
            ListedHost(name, "127.0.0.1:1", address, "mtl", "a")
            for name, address in (
                ("silent", address),
                ("other", other.identity.peer_address),
            )
        ]
        one.runtime.post(HostsListed(one.clock.now_s(), tuple(listed)))
        self.wait(lambda: one.has_report_from("other"))
        # Runs in real time. A host without reports is suspect after 1.5 s.
        time.sleep(2.5)
        members = one.runtime.snapshot.core.state_of(MembershipState)
        age_s = one.clock.now_s() - members.members["other"].sent_after_s
        self.assertLess(age_s, 1.0)
        self.assertFalse(one.has_report_from("silent"))

    def test_peer_that_was_replaced_is_called_again(self) -> None:
        one, other = Node("one"), Node("other")
        self.start(one)
        one.post_host_list(other)
        with other.runtime.running(), other.peers.running():
            self.wait(lambda: one.has_report_from("other"))
        # Listens on the peer address of `other` instead of a free port.
        successor = Node("successor")
        successor.identity = other.identity.__class__(
            "successor",
            "2",
            "mtl",
            "mtl-a",
            "mtl",
            "127.0.0.1:1",
            other.identity.peer_address,
        )
        reducer = RootReducer((MembershipReducer(), ConfigReducer()))
        telemetry = Telemetry("successor")
        successor.runtime = Runtime(
            reducer, successor.identity, successor.clock, telemetry, 1000
        )
        successor.peers = PeerNode(
            successor.runtime, successor.clock, successor.identity, telemetry
        )
        self.start(successor)
        self.wait(
            lambda: (
                one.has_report_from("successor") and not one.has_report_from("other")
            ),
            10.0,
        )


class MutualTlsTest(PeerTestCase):
    """Guards against an exchange with a host that the authority did not certify.

    The host may use a certificate of another authority, or no TLS.
    """

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.authority = trustme.CA()

    def tls(self, name: str, authority: trustme.CA) -> TlsFiles:
        certificate = authority.issue_cert(f"{name}.example.org")
        path = self.directory / f"{name}.pem"
        certificate.private_key_and_cert_chain_pem.write_to_path(str(path))
        roots = self.directory / "authority.pem"
        self.authority.cert_pem.write_to_path(str(roots))
        return TlsFiles(str(path), str(path), str(roots))

    def test_only_hosts_of_the_authority_exchange_records(self) -> None:
        one, other = (Node(n, self.tls(n, self.authority)) for n in ("one", "other"))
        foreign = Node("foreign", self.tls("foreign", trustme.CA()))
        plain = Node("plain")
        self.start(one, other, foreign, plain)
        for node in (foreign, plain):
            node.post_host_list(one)
        one.post_host_list(other, foreign, plain)
        self.wait(lambda: one.has_report_from("other") and other.has_report_from("one"))
        # Long enough for four exchanges, in which a foreign host could have taken part.
        time.sleep(2.0)
        for node in (one, other):
            self.assertFalse(
                node.has_report_from("foreign") or node.has_report_from("plain")
            )
        self.assertFalse(foreign.has_report_from("one") or plain.has_report_from("one"))

    def test_authority_is_required(self) -> None:
        with self.assertRaises(ValueError):
            Node("one", TlsFiles("a", "b", None))


CALL_TIMEOUT_S = 0.5


class BorrowTest(PeerTestCase):
    """Guards against a borrower that waits forever or takes a failure for a grant."""

    def setUp(self) -> None:
        super().setUp()
        self.lender, self.borrower = Node("lender"), Node("borrower")
        self.start(self.lender, self.borrower)
        self.borrower.post_host_list(self.lender)
        self.wait(lambda: self.borrower.has_report_from("lender"))

    def borrow(self, host: str) -> object:
        request = peer_pb2.TokenRequest(resource="quota.o.mtl", wanted=8, held=3)
        call = self.borrower.peers.call_host(
            host, "BorrowTokens", request, CALL_TIMEOUT_S
        )
        return call.result(10 * CALL_TIMEOUT_S)

    def test_answer(self) -> None:
        received = []

        def lend(request: object) -> object:
            received.append((request.resource, request.wanted, request.held))
            return peer_pb2.TokenGrant(status="lent", granted=5, valid_s=1.0)

        self.lender.peers.lend_tokens = lend
        answer = self.borrow("lender")
        self.assertEqual(received, [("quota.o.mtl", 8, 3)])
        self.assertEqual(
            (answer.status, answer.granted, answer.valid_s), ("lent", 5, 1.0)
        )

    def test_failures(self) -> None:
        self.assertIsInstance(self.borrow("unknown"), PeerFailure)
        self.assertIsInstance(self.borrow("lender"), PeerFailure)

        def fail(request: object) -> object:
            raise ValueError("error in the lender")

        self.lender.peers.lend_tokens = fail
        self.assertIsInstance(self.borrow("lender"), PeerFailure)

    def test_lender_that_is_paused(self) -> None:
        resumed = threading.Event()

        def lend(request: object) -> object:
            resumed.wait(2.0)
            return peer_pb2.TokenGrant()

        self.lender.peers.lend_tokens = lend
        started = time.monotonic()
        result = self.borrow("lender")
        resumed.set()
        self.assertIsInstance(result, PeerFailure)
        self.assertLess(time.monotonic() - started, 3 * CALL_TIMEOUT_S)


class CodecTest(unittest.TestCase):
    """Guards against invalid records that reach the receiver's reducer."""

    def test_invalid_records_are_dropped(self) -> None:
        node = Node("one")
        wire = _peer_codec.request_to_wire(
            exchange_request(node.runtime.snapshot.core, 1.0)
        )
        valid = wire.records[0]
        for field, value in {
            "host": "",
            "address": "nowhere",
            "peer_address": "127.0.0.1:0",
            "store_report": "maybe",
            "heard_age_s": float("nan"),
            "store_report_age_s": float("inf"),
        }.items():
            with self.subTest(field):
                broken = type(valid).FromString(valid.SerializeToString())
                setattr(broken, field, value)
                self.assertEqual(len(_peer_codec.records_from_wire([broken])), 0)
        self.assertEqual(len(_peer_codec.records_from_wire([valid])), 1)

    def test_records_are_decoded_unchanged(self) -> None:
        node = Node("one")
        core = node.runtime.snapshot.core
        sent = exchange_request(core, 1.0).sender_record
        extra = immutables.Map({"windows": "{}", "unsettled_edits": "[]"})
        full = replace(sent, record=replace(sent.record, extra=extra))
        for record in (full, full.without_static_fields()):
            wire = _peer_codec.record_to_wire(record)
            read = _peer_codec.record_from_wire(wire)
            assert read is not None
            expected = replace(record.record, store_report_at_s=0.0)
            self.assertEqual(read.record, expected)

    def test_configuration_is_decoded_unchanged(self) -> None:
        message = _peer_codec.config_to_wire(CONFIG, 0.5)
        self.assertEqual(_peer_codec.config_from_wire(message), CONFIG)
        message.rows = json.dumps([["routes", "r", {"owner": 3}]]).encode()
        self.assertIsInstance(_peer_codec.config_from_wire(message), tuple)


if __name__ == "__main__":
    unittest.main()

from __future__ import annotations

import ssl
import tempfile
import time
import unittest
from pathlib import Path

import trustme
from caller_port_fixture import IDLE_TIMEOUT_S
from caller_port_fixture import LIMITS
from caller_port_fixture import Answer
from caller_port_fixture import CallerPortTestCase
from caller_port_fixture import read_answer

from cardamomquay_cli._client import Answer as OperatorAnswer
from cardamomquay_cli._client import ClientTls
from cardamomquay_cli._client import NoAnswer
from cardamomquay_cli._client import OperatorClient
from cardamomquay_daemon._settings import TlsFiles

GET = b"GET /p HTTP/1.1\r\nHost: a\r\n\r\n"


class TlsTestCase(CallerPortTestCase):
    requires_client_certificate = False

    def setUp(self) -> None:
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.authority = trustme.CA()
        self.authority_file = self.write("ca.pem", self.authority.cert_pem)
        self.certificate, self.key = self.issue("server", "127.0.0.1")
        client_authority = (
            self.authority_file if self.requires_client_certificate else None
        )
        self.tls = TlsFiles(self.certificate, self.key, client_authority)
        super().setUp()

    def write(self, name: str, *blobs: trustme.Blob) -> str:
        path = self.directory / name
        path.write_bytes(b"".join(blob.bytes() for blob in blobs))
        return str(path)

    def issue(
        self, name: str, subject: str, authority: trustme.CA | None = None
    ) -> tuple[str, str]:
        issued = (authority or self.authority).issue_cert(subject)
        return (
            self.write(f"{name}.pem", *issued.cert_chain_pems),
            self.write(f"{name}.key", issued.private_key_pem),
        )

    def get(self, context: ssl.SSLContext) -> Answer | None:
        with (
            context.wrap_socket(self.connect(), server_hostname="127.0.0.1") as conn,
            conn.makefile("rb") as stream,
        ):
            conn.sendall(GET)
            return read_answer(stream)

    def context(self) -> ssl.SSLContext:
        return ssl.create_default_context(cafile=self.authority_file)


class TlsTest(TlsTestCase):
    """Guards against a listener that answers without TLS, or does not answer at all."""

    def test_answer_over_tls(self) -> None:
        answer = self.get(self.context())
        assert answer is not None
        self.assertEqual(answer.status, 200)

    def test_caller_that_trusts_another_authority(self) -> None:
        with self.assertRaises(ssl.SSLCertVerificationError):
            self.get(ssl.create_default_context())

    def test_old_protocol_is_refused(self) -> None:
        context = self.context()
        context.set_ciphers("ALL:@SECLEVEL=0")
        context.minimum_version = ssl.TLSVersion.TLSv1_1
        context.maximum_version = ssl.TLSVersion.TLSv1_1
        with self.assertRaises((ssl.SSLError, ConnectionError)):
            self.get(context)

    def test_plain_request_gets_no_answer(self) -> None:
        conn = self.connect()
        conn.sendall(GET)
        received = b""
        try:
            while data := conn.recv(1000):
                received += data
        except ConnectionResetError:
            pass
        self.assertNotIn(b"200", received)
        self.assertEqual(self.relay.requests, [])

    def test_silent_connections_do_not_stop_others(self) -> None:
        # cheroot's own TLS adapter does the handshake in the thread that accepts, so
        # one silent connection would block all others.
        silent = [self.connect() for _ in range(2 * LIMITS.request_threads)]
        # The first byte of a TLS record occupies a request thread with a handshake that
        # does not end; one thread stays free.
        for conn in silent[: LIMITS.request_threads - 1]:
            conn.sendall(b"\x16")
        started = time.monotonic()
        answer = self.get(self.context())
        assert answer is not None
        self.assertLess(time.monotonic() - started, IDLE_TIMEOUT_S)

    def test_stalled_handshake_is_ended(self) -> None:
        conn = self.connect()
        conn.sendall(b"\x16")
        started = time.monotonic()
        self.assertEqual(conn.recv(10), b"")
        self.assertLess(time.monotonic() - started, IDLE_TIMEOUT_S + 0.7)

    def test_requests_in_one_record(self) -> None:
        context = self.context()
        conn = context.wrap_socket(self.connect(), server_hostname="127.0.0.1")
        self.addCleanup(conn.close)
        # Each request takes half of the reader's buffer and the four fill one TLS
        # record, so the last two are still inside OpenSSL when that buffer is empty.
        head = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        body = b"x" * (4096 - len(head % 4000))
        conn.sendall((head % len(body) + body) * 4)
        with conn.makefile("rb") as stream:
            for _ in range(4):
                answer = read_answer(stream)
                assert answer is not None
                self.assertEqual(answer.body, body)

    def test_command_line_client(self) -> None:
        host, port = self.address
        url = f"https://{host}:{port}"
        # The caller port has no such resource; the status shows that TLS works.
        reply = OperatorClient([url], "", ClientTls(self.authority_file)).get(
            "/.cardamomquay/v1/none"
        )
        assert isinstance(reply, OperatorAnswer), reply
        self.assertEqual(reply.status, 404)
        reply = OperatorClient([url], "").get("/.cardamomquay/v1/none")
        assert isinstance(reply, NoAnswer)
        self.assertFalse(reply.may_have_arrived)


class ClientCertificateTest(TlsTestCase):
    """Guards against a `client_authority` that is loaded but not enforced."""

    requires_client_certificate = True

    def test_certificates(self) -> None:
        own = self.issue("client", "operator.example")
        foreign = self.issue("foreign", "operator.example", trustme.CA())
        with self.subTest("of the authority"):
            context = self.context()
            context.load_cert_chain(*own)
            answer = self.get(context)
            assert answer is not None
            self.assertEqual(answer.status, 200)
        for name, files in (("none", None), ("of another authority", foreign)):
            with self.subTest(name):
                context = self.context()
                if files is not None:
                    context.load_cert_chain(*files)
                answer = None
                try:
                    answer = self.get(context)
                except (TimeoutError, ssl.SSLError, ConnectionError):
                    continue
                self.assertIsNone(answer)
        self.assertEqual(len(self.relay.requests), 1)


if __name__ == "__main__":
    unittest.main()

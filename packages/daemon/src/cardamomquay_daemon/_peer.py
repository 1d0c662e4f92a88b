"""Server and client of the protocol between daemons, in one asyncio thread."""

from __future__ import annotations

import asyncio
import concurrent.futures
import ssl
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from grpclib import GRPCError
from grpclib import Status
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigLoadFailed
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import FetchConfigFromPeer
from cardamomquay.config_sync import exchange_reply
from cardamomquay.config_sync import exchange_request
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import ExchangeWithPeers
from cardamomquay.membership import MembershipState
from cardamomquay.outcomes import format_findings
from cardamomquay_daemon import _peer_codec
from cardamomquay_daemon._peer_traffic import ByteCounter
from cardamomquay_daemon._peer_traffic import CountingChannel
from cardamomquay_daemon._peer_traffic import CountingServer
from cardamomquay_daemon._telemetry import CONFIG_INVALID
from cardamomquay_daemon._telemetry import PEER_FAILED
from cardamomquay_daemon.wire import peer_pb2
from cardamomquay_daemon.wire.peer_grpc import PeerBase
from cardamomquay_daemon.wire.peer_grpc import PeerStub

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.clock import Clock
    from cardamomquay.membership import PeerTarget
    from cardamomquay.reducer import Effect
    from cardamomquay.reducer import Identity
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._settings import TlsFiles
    from cardamomquay_daemon._telemetry import Telemetry

EXCHANGE_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 1.0
# A connection stays open if its peer disappears without closing it, so a new one is
# opened after this many consecutive calls that ended without a gRPC status.
FAILURES_BEFORE_RECONNECT = 2
CALL_ERRORS = (
    GRPCError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)
START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call to a peer failed; the peer may have carried it out nevertheless."""

    reason: str


class _Connection:
    """A channel to one peer, used by the asyncio thread only.

    `consecutive_failures` is the number of calls since the peer's last reply that ended
    without a gRPC status, including those on channels that this one replaced.
    """

    def __init__(
        self, address: str, tls: ssl.SSLContext | None, counter: ByteCounter
    ) -> None:
        host, _, port = address.rpartition(":")
        self._channel = CountingChannel(
            host.strip("[]"), int(port), ssl=tls, counter=counter
        )
        self.stub: Any = PeerStub(self._channel)
        self.consecutive_failures = 0

    def close(self) -> None:
        self._channel.close()


class PeerNode(PeerBase):
    """Server and client of the peer protocol.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    identity : Identity
    telemetry : Telemetry
    tls : TlsFiles or None
        Server and clients both present a certificate signed by `client_authority`.
        With None, connections are not encrypted.

    Attributes
    ----------
    lend_tokens, lend_slots : callable or None
        Convert a request message for tokens or slots to a grant message. They run in
        the asyncio thread and must not block.
    load : callable
        Returns the share of this host's request threads that are busy, 0 to 1. Returns
        0 unless it is replaced, which `Daemon` does not do.
    """

    def __init__(
        self,
        runtime: Runtime,
        clock: Clock,
        identity: Identity,
        telemetry: Telemetry,
        tls: TlsFiles | None = None,
    ) -> None:
        self._runtime = runtime
        self._clock = clock
        self._identity = identity
        self._telemetry = telemetry
        self._server_tls = (
            None if tls is None else _tls_context(tls, ssl.Purpose.CLIENT_AUTH)
        )
        self._client_tls = (
            None if tls is None else _tls_context(tls, ssl.Purpose.SERVER_AUTH)
        )
        self._connections: dict[str, _Connection] = {}
        self._exchanges_in_flight: set[str] = set()
        self._byte_counter = ByteCounter()
        self._loop = asyncio.new_event_loop()
        self._stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.lend_tokens: Callable[[Any], Any] | None = None
        self.lend_slots: Callable[[Any], Any] | None = None
        self.load: Callable[[], float] = lambda: 0.0

    def handlers(self) -> Mapping[type[Effect], Callable[[Any], None]]:
        """Return the handler of each effect type."""
        return {
            ExchangeWithPeers: self._start_exchange,
            FetchConfigFromPeer: self._start_fetch,
        }

    @contextmanager
    def running(self) -> Iterator[None]:
        """Serve and call peers for the duration of a ``with`` block.

        Raises
        ------
        OSError
            If the peer address cannot be bound.
        """
        started: concurrent.futures.Future[None] = concurrent.futures.Future()
        thread = threading.Thread(
            target=self._run, args=(started,), name="peers", daemon=True
        )
        thread.start()
        started.result(START_TIMEOUT_S)
        try:
            yield
        finally:
            self._loop.call_soon_threadsafe(self._stop.set)
            thread.join(timeout=STOP_TIMEOUT_S)

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        message = await stream.recv_message()
        assert message is not None
        request = _peer_codec.request_from_wire(message)
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no usable record of the sender")
        core, now_s = self._runtime.snapshot.core, self._clock.now_s()
        reply = exchange_reply(core, now_s, request.known_records, self.load())
        await stream.send_message(_peer_codec.reply_to_wire(reply))
        self._runtime.post(
            ExchangeReceived(
                now_s,
                request.sender_record,
                request.known_records,
                request.config_version,
            )
        )

    async def FetchConfig(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        assert request is not None
        config_state = self._runtime.snapshot.core.state_of(ConfigState)
        if (
            config_state.config is None
            or config_state.version < request.at_least_version
        ):
            raise GRPCError(Status.NOT_FOUND, "no such version here")
        age_s = self._clock.now_s() - config_state.confirmed_at_s
        await stream.send_message(
            _peer_codec.config_to_wire(config_state.config, age_s)
        )

    def call_host(
        self, host: str, method: str, request: Any, timeout_s: float
    ) -> concurrent.futures.Future[Any]:
        """Call a method of a host's peer service without blocking.

        Parameters
        ----------
        host, method : str
        request : protobuf message
        timeout_s : float

        Returns
        -------
        Future
            The reply, or a `PeerFailure`.
        """
        member = self._runtime.snapshot.core.state_of(MembershipState).members.get(host)
        if member is None:
            fut: concurrent.futures.Future[Any] = concurrent.futures.Future()
            fut.set_result(PeerFailure("unknown host"))
            return fut
        call = self._call(member.record.peer_address, method, request, timeout_s)
        try:
            return asyncio.run_coroutine_threadsafe(call, self._loop)
        except RuntimeError:
            call.close()
            fut = concurrent.futures.Future()
            fut.set_result(PeerFailure("this daemon is stopping"))
            return fut

    async def BorrowTokens(self, stream: Any) -> None:  # noqa: N802
        await self._answer_borrower(stream, self.lend_tokens)

    async def BorrowSlots(self, stream: Any) -> None:  # noqa: N802
        await self._answer_borrower(stream, self.lend_slots)

    @staticmethod
    async def _answer_borrower(stream: Any, lend: Callable[[Any], Any] | None) -> None:
        request = await stream.recv_message()
        assert request is not None
        if lend is None:
            raise GRPCError(Status.UNIMPLEMENTED, "this host lends nothing")
        await stream.send_message(lend(request))

    def _run(self, started: concurrent.futures.Future[None]) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._serve(started))
        finally:
            self._loop.close()

    async def _serve(self, started: concurrent.futures.Future[None]) -> None:
        host, _, port = self._identity.peer_address.rpartition(":")
        server = CountingServer([self], counter=self._byte_counter)
        try:
            await server.start(host.strip("[]"), int(port), ssl=self._server_tls)
        except OSError as exc:
            started.set_exception(exc)
            return
        started.set_result(None)
        await self._stop.wait()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._connections.values():
            connection.close()
        server.close()
        await server.wait_closed()

    def _start_exchange(self, effect: ExchangeWithPeers) -> None:
        self._spawn(self._exchange_with_targets(effect.targets))

    def _start_fetch(self, effect: FetchConfigFromPeer) -> None:
        self._spawn(self._fetch_config(effect))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        def start() -> None:
            if self._stop.is_set():
                coroutine.close()
                return
            task = self._loop.create_task(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._on_task_done)

        try:
            self._loop.call_soon_threadsafe(start)
        except RuntimeError:  # The loop is closed since this daemon is stopping.
            coroutine.close()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if isinstance(exc, Exception):
            self._telemetry.record_effect_failure("peer call", exc)

    async def _exchange_with_targets(self, targets: Sequence[PeerTarget]) -> None:
        self._close_unused_connections()
        sent, received = self._byte_counter.read_and_reset()
        self._telemetry.count("peers.bytes_sent", sent)
        self._telemetry.count("peers.bytes_received", received)
        # Requests and replies are both built in the asyncio thread, so that the
        # sequence numbers of this host's records do not decrease.
        core, now_s = self._runtime.snapshot.core, self._clock.now_s()
        request = _peer_codec.request_to_wire(
            exchange_request(core, now_s, self.load())
        )
        await asyncio.gather(
            *(self._exchange_with(target, request) for target in targets)
        )

    def _close_unused_connections(self) -> None:
        """Close connections to addresses that no longer belong to a host.

        They are looked for only if there are at least as many connections as
        known hosts, of which this host is one.
        """
        members = self._runtime.snapshot.core.state_of(MembershipState).members
        if len(self._connections) < len(members):
            return
        member_addresses = {member.record.peer_address for member in members.values()}
        for address in tuple(self._connections):
            if address not in member_addresses:
                self._connections.pop(address).close()

    async def _exchange_with(self, target: PeerTarget, request: Any) -> None:
        address = target.peer_address
        if address in self._exchanges_in_flight:
            # Calls to a peer that does not read would pile up, so only one may run.
            self._telemetry.count("peers.exchange_skipped")
            return
        self._exchanges_in_flight.add(address)
        started_s = self._clock.now_s()
        try:
            reply = await self._call(address, "Exchange", request, EXCHANGE_TIMEOUT_S)
        finally:
            self._exchanges_in_flight.discard(address)
        if isinstance(reply, PeerFailure):
            self._telemetry.count("peers.exchange_failed")
            return
        records = _peer_codec.records_from_wire(reply.records)
        if not records:
            return
        self._runtime.post(
            ExchangeAnswered(
                self._clock.now_s(),
                started_s,
                target,
                records[0].record.host,
                records,
                reply.config_version,
                reply.confirmed_age_s if reply.has_evidence else None,
            )
        )

    async def _fetch_config(self, effect: FetchConfigFromPeer) -> None:
        request = peer_pb2.ConfigRequest(at_least_version=effect.version)
        started_s = self._clock.now_s()
        reply = await self._call(
            effect.peer_address, "FetchConfig", request, FETCH_TIMEOUT_S
        )
        now_s = self._clock.now_s()
        if isinstance(reply, PeerFailure):
            self._runtime.post(ConfigLoadFailed(now_s))
            return
        try:
            config = _peer_codec.config_from_wire(reply)
        except (TypeError, ValueError) as exc:
            self._telemetry.log(CONFIG_INVALID, findings=str(exc))
            self._runtime.post(ConfigLoadFailed(now_s))
            return
        if isinstance(config, tuple):
            self._telemetry.log(CONFIG_INVALID, findings=format_findings(config))
            self._runtime.post(ConfigLoadFailed(now_s))
            return
        confirmed_at_s = started_s - reply.confirmed_age_s
        self._runtime.post(ConfigLoaded(now_s, config, confirmed_at_s, from_peer=True))

    async def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        connection = self._connection(address)
        try:
            # The timeout includes connecting and the TLS handshake.
            reply = await getattr(connection.stub, method)(request, timeout=timeout_s)
        except CALL_ERRORS as exc:
            # A gRPC status comes from the peer, so the connection works.
            is_grpc_error = isinstance(exc, GRPCError)
            if not is_grpc_error:
                self._record_failure(address, connection, exc)
            return PeerFailure(f"{type(exc).__name__}: {exc}")
        connection.consecutive_failures = 0
        return reply

    def _connection(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            connection = _Connection(address, self._client_tls, self._byte_counter)
            self._connections[address] = connection
        return connection

    def _record_failure(
        self, address: str, connection: _Connection, exc: Exception
    ) -> None:
        connection.consecutive_failures += 1
        if connection.consecutive_failures == 1:
            self._telemetry.log(PEER_FAILED, address=address, error=repr(exc))
        if (
            connection.consecutive_failures % FAILURES_BEFORE_RECONNECT == 0
            and self._connections.get(address) is connection
        ):
            connection.close()
            replacement = _Connection(address, self._client_tls, self._byte_counter)
            replacement.consecutive_failures = connection.consecutive_failures
            self._connections[address] = replacement


def _tls_context(files: TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    if files.client_authority is None:
        raise ValueError(
            "peer_tls needs client_authority, with which hosts verify each other"
        )
    context = ssl.create_default_context(purpose, cafile=files.client_authority)
    context.load_cert_chain(files.certificate, files.private_key)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Host names are not checked, since a replaced host has another address. Instead,
    # the authority must issue certificates to hosts only.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context

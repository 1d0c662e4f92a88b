"""A host is stopped with SIGTERM while clients pipeline requests for downloads."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import deque
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

# The link of the smallest machines (demands/LATER.md: 5 to 100 Mbit/s).
LINK_BYTES_PER_S = 5_000_000 / 8
# Deadline and mean answer of receipt-archive there.
TIMEOUT_S = 3.0
DEADLINE_MS = 6592
ANSWER_BYTES = 90_000
WORK_S = 0.4
CLIENTS = 4
PIPELINED = 2
GRACE_S = 6.0
# More than `stableWindowS` after the start of the host.
BEFORE_STOP_S = 8.0


class Client:
    """Keeps two downloads under way on one connection (pipelining)."""

    def __init__(self, bed: standins.Bed, address: tuple[str, int]) -> None:
        self._bed, self._address = bed, address
        self._loop = asyncio.get_running_loop()
        # Id, time of sending, time of the end, and what happened.
        self.results: list[tuple[str, float, float, str]] = []

    async def run(self) -> None:
        """Send requests until the host closes the connection."""
        reader, writer = await asyncio.open_connection(*self._address)
        waiting: deque[tuple[str, float]] = deque()
        is_kept = True
        while is_kept:
            while len(waiting) < PIPELINED:
                request_id = self._bed.next_id()
                waiting.append((request_id, self._loop.time()))
                writer.write(
                    standins.request_head(request_id, "GET", "/arkiv/1", DEADLINE_MS)
                )
                self._bed.record.write(f"sent     {request_id}")
            outcome, is_kept = await self._read(reader)
            request_id, sent_s = waiting.popleft()
            self.results.append((request_id, sent_s, self._loop.time(), outcome))
            self._bed.record.write(f"answered {request_id} {outcome}")
        writer.close()
        for request_id, _ in waiting:
            self._bed.record.write(f"closed   {request_id} behind the last answer")

    @staticmethod
    async def _read(reader: asyncio.StreamReader) -> tuple[str, bool]:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError) as exc:
            return f"missing ({exc!r})", False
        lines = head.decode("latin-1").lower().split("\r\n")
        status = lines[0].split(" ")[1]
        length = next(int(x[15:]) for x in lines if x.startswith("content-length:"))
        received = 0
        with suppress(OSError):
            while received < length:
                part = await reader.read(min(65_536, length - received))
                if not part:
                    break
                received += len(part)
        if received < length:
            return f"cut at {received} of {length} bytes", False
        return f"complete, status {status}", "connection: close" not in lines


async def play(bed: standins.Bed) -> list[str]:
    """Play the case and return what breaks the rule."""
    servers = [
        standins.Server(bed, "doc-pull", zone) for zone in standins.ZONES for _ in "12"
    ]
    for server in servers:
        server.work_s = WORK_S
        server.body = b"x" * ANSWER_BYTES
    route = {
        "prefix": "/arkiv/",
        "type": "download",
        "service": "doc-pull",
        "timeoutS": TIMEOUT_S,
    }
    await bed.start(standins.config(1, [route], ["doc-pull"]), 3, servers)
    link = standins.SlowLink(bed.hosts[0].front, LINK_BYTES_PER_S)
    await link.start()
    clients = [Client(bed, link.address) for _ in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(BEFORE_STOP_S)
    loop = asyncio.get_running_loop()
    stop_s = loop.time()
    if standins.is_with_trouble():
        bed.hosts[0].send_signal(signal.SIGTERM)
        await bed.hosts[0].process.wait()
        bed.record.write(f"{bed.hosts[0].name} has ended")
        await asyncio.sleep(2.0)
    else:
        await asyncio.sleep(GRACE_S)
    for task in tasks:
        task.cancel()
    passed_on = {run.request_id for run in bed.runs}
    results = [result for client in clients for result in client.results]
    if sum(outcome.startswith("complete, status 200") for *_, outcome in results) < 4:
        raise standins.UnusableError("too few downloads were complete")
    return [
        f"LOST: {request_id} was passed on, and its answer was {outcome} "
        f"{end_s - sent_s:.2f} s after it was sent, "
        f"{end_s - stop_s:.2f} s after SIGTERM"
        for request_id, sent_s, end_s, outcome in results
        if not outcome.startswith("complete")
        and request_id in passed_on
        and end_s - sent_s < TIMEOUT_S
        and stop_s <= end_s <= stop_s + GRACE_S + 1.0
    ]


if __name__ == "__main__":
    standins.main(FOLDER, play)

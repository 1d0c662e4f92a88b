"""A request that crashes servers while they answer it is never kept from the others."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from harness import Bed
from harness import Client
from harness import Run
from harness import Server
from harness import run_case

if TYPE_CHECKING:
    from asyncio import StreamWriter

ROUTE = {
    "hostname": "shop.example",
    "prefix": "/look/",
    "type": "safe",
    "timeoutS": 1.5,
    "targetLatencyS": 0.5,
    "maxAttempts": 2,
    "service": "look-svc",
}
DEADLY_PATH = "/look/deadly"
# The server is back after some seconds.
BACK_AFTER_S = 3.0
# A client sends the request anew this long after its last answer.
AGAIN_AFTER_S = 2.0
LENGTH_S = 45.0
STABLE_WINDOW_S = 4.0
CRASHES = 3
# CUT=0: the servers crash before the first byte of their answer.
HAS_BEGUN_ANSWER = os.environ.get("CUT", "1") != "0"
RETRIES_MAX = 3


async def play(bed: Bed, has_trouble: bool) -> str | None:
    """Play the case; return what broke the rule."""
    crashes_s: list[float] = []
    bed.routes = [ROUTE]
    bed.services = {"look-svc": {"healthPath": "/healthz", "maxConnections": 300}}
    bed.write_config()
    for number in range(9):
        zone = ("a1", "a2", "b1")[number % 3]
        server = Server(bed, f"i-{number}", "look-svc", zone)
        if has_trouble:
            server.answer = crashing_answer(bed, server, crashes_s)
        await bed.add_server(server)
    bed.spawn(bed.heartbeats())
    bed.start_edges(["a1", "a2", "b1"])
    await bed.wait_until_ready()
    for edge in bed.edges:
        bed.spawn(send_requests(Client(bed, edge, "key-one")))
    await asyncio.sleep(3.0)
    deadly = [Client(bed, edge, "key-one") for edge in bed.edges]
    until_s = bed.record.now_s() + LENGTH_S
    number = 0
    while bed.record.now_s() < until_s:
        await deadly[number % len(deadly)].request("GET", DEADLY_PATH, deadline_s=3.0)
        number += 1
        await asyncio.sleep(AGAIN_AFTER_S)
    return verdict(bed, crashes_s)


def crashing_answer(bed: Bed, server: Server, crashes_s: list[float]):
    """Return a way to answer: whole, but for the deadly request."""

    async def answer(run: Run, writer: StreamWriter) -> bool:
        data = server.whole_answer(run)
        if run.path != DEADLY_PATH:
            writer.write(data)
            await writer.drain()
            return False
        # The head and a part of the body are out when the server ends.
        if HAS_BEGUN_ANSWER:
            writer.write(data[:-4])
        await asyncio.sleep(0.02)
        crashes_s.append(bed.record.now_s())
        bed.record.write(f"{server.instance} crashes, running {run.request_id}")
        bed.spawn(crash_and_return(server))
        return True

    return answer


async def crash_and_return(server: Server) -> None:
    """Crash a server, and start it again under its id and address."""
    port = int(server.address.split(":")[1])
    server.kill()
    await asyncio.sleep(BACK_AFTER_S)
    server.born += 1
    server.sequence = 0
    await server.start(port)


def verdict(bed: Bed, crashes_s: list[float]) -> str | None:
    """Return what broke the rule, from what the servers have seen."""
    deadly = [run for run in bed.runs if run.path == DEADLY_PATH]
    print(f"{len(deadly)} runs of the request, {len(crashes_s)} crashes")
    if len(crashes_s) < CRASHES:
        return None
    due_s = crashes_s[CRASHES - 1] + STABLE_WINDOW_S
    # A retry is a second run of the same attempt of a client, sent on by a process of
    # its own accord.
    seen: set[str] = set()
    retries = 0
    for run in deadly:
        if run.request_id in seen and run.at_s > due_s:
            retries += 1
        seen.add(run.request_id)
    lost = {
        run.request_id
        for run in bed.runs
        if run.path != DEADLY_PATH and not run.was_answered
    }
    print(f"retries later than {STABLE_WINDOW_S:g} s after the third crash: {retries}")
    print(f"runs of other requests that crashes cut short: {len(lost)}")
    if retries > RETRIES_MAX:
        return f"{retries} retries reached servers, later than allowed"
    return None


async def send_requests(client: Client) -> None:
    """Send usual requests until cancelled."""
    number = 0
    while True:
        number += 1
        await client.request("GET", f"/look/{number % 20}", deadline_s=1.5)
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    run_case(__file__, play)

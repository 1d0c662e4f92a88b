"""An entry of another writer, with bytes that cannot be read, ends all processes."""

from __future__ import annotations

import asyncio
import base64

from harness import Bed
from harness import Client
from harness import Server
from harness import run_case

ROUTE = {
    "hostname": "shop.example",
    "prefix": "/look/",
    "type": "safe",
    "timeoutS": 1.5,
    "targetLatencyS": 0.5,
    "maxAttempts": 2,
    "service": "look-svc",
}
BEFORE_S = 5.0
AFTER_S = 25.0
# A process that ends by itself three times in the day counts; on a tenth of the
# machines, two at least.
ENDS = 3
MACHINES = 2
# Cut short: a thousand nested lists begin and none ends. A row may hold 65,536 bytes.
CUT_SHORT = (
    b'{"service": "look-svc", "address": "127.0.0.1:9", "zone": "a1", "state": "ready",'
    b' "notes": ' + b"[" * 1000
)


async def play(bed: Bed, has_trouble: bool) -> str | None:
    """Play the case; return what broke the rule."""
    bed.routes = [ROUTE]
    bed.services = {"look-svc": {"healthPath": "/healthz", "maxConnections": 300}}
    bed.write_config()
    for number, zone in enumerate(("a1", "a2", "b1")):
        await bed.add_server(Server(bed, f"i-{number}", "look-svc", zone))
    bed.spawn(bed.heartbeats())
    bed.start_edges(["a1", "a2", "b1"])
    await bed.wait_until_ready()
    for edge in bed.edges:
        bed.spawn(send_requests(Client(bed, edge, "key-one")))
    await asyncio.sleep(BEFORE_S)
    if has_trouble:
        bed.store.put("servers", "i-other", base64.b64encode(CUT_SHORT).decode())
        bed.record.write(f"an entry of {len(CUT_SHORT)} bytes from another writer")
    at_s = bed.record.now_s()
    await asyncio.sleep(AFTER_S)
    later = [answer for answer in bed.answers if answer.sent_s > at_s + 2.0]
    served = sum(answer.status == 200 for answer in later)
    print(f"served from 2 s after the entry on: {served} of {len(later)}")
    for edge in bed.edges:
        print(f"{edge.name}: ended by itself {len(edge.own_ends)} times")
    ending = [edge.name for edge in bed.edges if len(edge.own_ends) >= ENDS]
    if len(ending) >= MACHINES:
        return f"{', '.join(ending)} ended by themselves {ENDS} times or more"
    return None


async def send_requests(client: Client) -> None:
    """Send usual requests until cancelled."""
    number = 0
    while True:
        number += 1
        await client.request("GET", f"/look/{number}", deadline_s=1.5)
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    run_case(__file__, play)

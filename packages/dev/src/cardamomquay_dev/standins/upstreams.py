"""Stand-ins for upstreams: many in one process, each on a port of its own.

An upstream has slots, random service times and a cold start. It refuses requests
beyond its slots with ``503`` and ``X-Not-Run: true``. ``POST /control/behaviour``
changes upstreams, ``GET /control/runs`` returns the requests that ran.
"""

from __future__ import annotations

import hashlib
import json
import random
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from absl import app
from absl import flags
from werkzeug import Request
from werkzeug import Response

from cardamomquay_dev.standins._serve import json_response
from cardamomquay_dev.standins._serve import make_server
from cardamomquay_dev.standins._serve import serve_until_stopped

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

PLAN = flags.DEFINE_string("plan", "", "JSON file that lists the upstreams.")
CONTROL = flags.DEFINE_string("control", "127.0.0.1:7100", "ip:port.")
# Threads beyond the slots, which refuse requests while all slots are busy.
EXTRA_THREADS = 3
COLD_FACTOR = 3.0


@dataclass(slots=True)
class Run:
    """One request that an upstream ran.

    ``/control/runs`` returns each as a list of its fields in this order. `request_id`
    is the value of ``X-Request-Id``, and `key_seen` says whether the request contained
    a caller's key.
    """

    upstream: str
    pool: str
    request_id: str
    organisation: str
    path: str
    started_s: float
    finished_s: float
    key_seen: bool
    answer_bytes: int = 0
    answer_digest: str = ""


@dataclass(slots=True)
class Behaviour:
    """How an upstream behaves now; ``/control/behaviour`` sets fields by name.

    Parameters
    ----------
    mean_s : float
        Mean service time in seconds.
    error_share : float
        Share of requests answered with 500.
    cold_until_s : float
        Unix time until which service times are multiplied by `COLD_FACTOR`.
    body_bytes : int
        Length of the padding in an answer.
    hang_share : float
        Accepted, but without effect.
    """

    mean_s: float = 0.005
    error_share: float = 0.0
    cold_until_s: float = 0.0
    body_bytes: int = 1024
    hang_share: float = 0.0


@dataclass(slots=True)
class RunLog:
    """Requests that the upstreams of this process ran, and the number they refused.

    `shed` is the number of refused requests; `over_slots` is unused.
    """

    lock: threading.Lock = field(default_factory=threading.Lock)
    runs: list[Run] = field(default_factory=list)
    shed: int = 0
    over_slots: int = 0


class UpstreamApp:
    """WSGI application of one upstream."""

    def __init__(
        self, name: str, pool: str, slots: int, behaviour: Behaviour, run_log: RunLog
    ) -> None:
        self.name = name
        self.pool = pool
        self.behaviour = behaviour
        self._slots = threading.Semaphore(slots)
        self._run_log = run_log
        self._random = random.Random(f"{pool}/{name}")

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ, populate_request=False)
        body = request.get_data()
        if not self._slots.acquire(blocking=False):
            with self._run_log.lock:
                self._run_log.shed += 1
            response = Response("busy\n", 503, headers={"X-Not-Run": "true"})
            return response(environ, start_response)
        try:
            response = self._run(request, body)
        finally:
            self._slots.release()
        return response(environ, start_response)

    def _run(self, request: Request, body: bytes) -> Response:
        started_s = time.time()
        behaviour = self.behaviour
        service_s = self._random.expovariate(1.0 / behaviour.mean_s)
        if started_s < behaviour.cold_until_s:
            service_s *= COLD_FACTOR
        time.sleep(min(service_s, 30.0))
        request_id = request.headers.get("X-Request-Id", "")
        run = Run(
            upstream=self.name,
            pool=self.pool,
            request_id=request_id,
            organisation=request.headers.get("X-Organisation", ""),
            path=request.path,
            started_s=started_s,
            finished_s=time.time(),
            key_seen=_contains_key(request, body),
        )
        failed = self._random.random() < behaviour.error_share
        document = {
            "request_id": request_id,
            "upstream": self.name,
            "pool": self.pool,
            "padding": "" if failed else "x" * behaviour.body_bytes,
        }
        response = json_response(document, 500 if failed else 200)
        run.answer_bytes = len(response.get_data())
        run.answer_digest = hashlib.sha256(response.get_data()).hexdigest()
        with self._run_log.lock:
            self._run_log.runs.append(run)
        return response


class ControlApp:
    """WSGI application that changes the upstreams' behaviour and returns their runs."""

    def __init__(self, upstreams: list[UpstreamApp], run_log: RunLog) -> None:
        self._upstreams = upstreams
        self._run_log = run_log

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ, populate_request=False)
        return self._respond(request)(environ, start_response)

    def _respond(self, request: Request) -> Response:
        if request.path == "/control/runs":
            with self._run_log.lock:
                runs = [
                    [
                        run.upstream,
                        run.pool,
                        run.request_id,
                        run.organisation,
                        run.path,
                        run.started_s,
                        run.finished_s,
                        run.key_seen,
                        run.answer_bytes,
                        run.answer_digest,
                    ]
                    for run in self._run_log.runs
                ]
                shed = self._run_log.shed
            return json_response({"runs": runs, "shed": shed})
        document = json.loads(request.get_data())
        for upstream in self._upstreams:
            if upstream.pool == document["pool"] and document.get(
                "upstream", upstream.name
            ) == (upstream.name):
                for name, value in document["set"].items():
                    setattr(upstream.behaviour, name, value)
        return json_response({})


def _contains_key(request: Request, body: bytes) -> bool:
    """Whether a request contains a key; test secrets start with ``canary-``."""
    text = " ".join(f"{name}:{value}" for name, value in request.headers.items())
    return "x-api-key" in text.lower() or "canary-" in text or b"canary-" in body


def make_servers(plan: list[dict[str, Any]], control: str) -> list[Any]:
    """Return the servers of a plan's upstreams and of their control.

    Each entry holds `name`, `pool`, `address`, `slots` and, optionally, `behaviour`.
    """
    run_log = RunLog()
    servers = []
    apps = []
    for entry in plan:
        behaviour = Behaviour(**entry.get("behaviour", {}))
        upstream = UpstreamApp(
            entry["name"], entry["pool"], entry["slots"], behaviour, run_log
        )
        apps.append(upstream)
        threads = entry["slots"] + EXTRA_THREADS
        servers.append(make_server(entry["address"], upstream, threads))
    servers.append(make_server(control, ControlApp(apps, run_log), 4))
    return servers


def main(argv: list[str]) -> None:
    """Serve the upstreams of a plan."""
    with open(PLAN.value, encoding="utf-8") as file:
        plan = json.load(file)
    serve_until_stopped(make_servers(plan, CONTROL.value))


if __name__ == "__main__":
    app.run(main)

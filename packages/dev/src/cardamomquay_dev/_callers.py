"""Callers that cache look-ups, keep records and retry as a careful client does."""

from __future__ import annotations

import hashlib
import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay_dev._fleet import SERVICES
from cardamomquay_dev._http import HttpAnswer
from cardamomquay_dev._http import NoAnswer
from cardamomquay_dev._http import call
from cardamomquay_dev._http import get_json

if TYPE_CHECKING:
    from cardamomquay_dev._fleet import Fleet
    from cardamomquay_dev._fleet import Service
    from cardamomquay_dev._fleet import Tenant

ATTEMPTS_MAX = 5
CACHE_STRETCH = 3.0
CALLER_THREADS = 8
REFUSED_HEADER = "x-cardamomquay-reason"
REPLAYED_HEADER = "x-cardamomquay-replayed"
RETRY_PAUSE_S = 0.05


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, as its caller saw it."""

    attempt_id: str
    host: str
    sent_s: float
    ended_s: float
    status: int = 0
    reason: str = ""
    not_run: bool = False
    answered: bool = False
    mismatched: bool = False
    replayed: bool = False
    answer_digest: str | None = None


@dataclass(slots=True)
class Sent:
    """One request and all of its attempts."""

    request_id: str
    organisation: str
    pool: str
    repeatable: bool
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def last(self) -> Attempt:
        """The attempt that decided the request: the last one with an answer."""
        answered = [attempt for attempt in self.attempts if attempt.status]
        return (answered or self.attempts)[-1]


class Organisation:
    """The callers of one organisation.

    Parameters
    ----------
    fleet : Fleet
    tenant : Tenant
    region : str
    seed : int
    """

    def __init__(self, fleet: Fleet, tenant: Tenant, region: str, seed: int) -> None:
        self.tenant = tenant
        self.sent: list[Sent] = []
        self._fleet = fleet
        self._region = region
        self._random = random.Random(f"{seed}/{tenant.name}")
        self._services = [s for s in SERVICES if s.owner == tenant.owner]
        self._lock = threading.Lock()
        self._hosts: list[tuple[str, int]] = []
        self._hosts_until_s = 0.0
        self._number = 0

    def run(self, seconds: float) -> None:
        """Send requests with exponential gaps for some time."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        with ThreadPoolExecutor(CALLER_THREADS, self.tenant.name) as executor:
            while (
                due := due + self._random.expovariate(self.tenant.offered_per_s)
            ) < end:
                time.sleep(max(0.0, due - time.monotonic()))
                service = self._random.choices(self._services, weights=(6, 2, 2))[0]
                executor.submit(self._request, service)

    def _request(self, service: Service) -> None:
        with self._lock:
            self._number += 1
            request_id = f"{self.tenant.name}-{self._number}"
        sent = Sent(request_id, self.tenant.name, service.pool, service.repeatable)
        tried: set[str] = set()
        for number in range(ATTEMPTS_MAX):
            address = self._choose(tried)
            attempt = self._attempt(sent, service, address, number)
            sent.attempts.append(attempt)
            if not _is_worth_retrying(attempt):
                break
            tried.add(address)
            time.sleep(RETRY_PAUSE_S)
        with self._lock:
            self.sent.append(sent)

    def _attempt(
        self, sent: Sent, service: Service, address: str, number: int
    ) -> Attempt:
        attempt_id = f"{sent.request_id}.{number}"
        headers = [
            f"X-Api-Key: {self._fleet.caller_keys[self.tenant.name]}",
            f"X-Request-Id: {attempt_id}",
        ]
        if not sent.repeatable:
            headers.append(f"Idempotency-Key: {sent.request_id}")
        method = "GET" if sent.repeatable else "POST"
        body = None if sent.repeatable else json.dumps({"id": sent.request_id}).encode()
        started = time.time()
        answer = call(
            method,
            f"http://{address}{service.prefix}/{sent.request_id}",
            tuple(headers),
            body,
        )
        attempt = Attempt(attempt_id, address, started, time.time())
        if isinstance(answer, NoAnswer):
            attempt.reason = "connection_refused" if answer.refused else "no_answer"
            attempt.not_run = answer.refused
            return attempt
        return _read_answer(attempt, sent, answer)

    def _choose(self, tried: set[str]) -> str:
        with self._lock:
            if time.monotonic() > self._hosts_until_s or tried:
                self._look_up()
            hosts = [h for h in self._hosts if h[0] not in tried] or self._hosts
            weights = [weight for _, weight in hosts]
            return self._random.choices([h[0] for h in hosts], weights)[0]

    def _look_up(self) -> None:
        plans = list(self._fleet.hosts)
        self._random.shuffle(plans)
        for plan in plans:
            document = get_json(
                f"http://{plan.listen}/.cardamomquay/v1/hosts"
                f"?region={self._region}&organisation={self.tenant.name}"
            )
            if document and document["hosts"]:
                self._hosts = [(h["address"], h["weight"]) for h in document["hosts"]]
                # Callers keep an answer beyond its time to live, as some do.
                stretch = self._random.choice((1.0, CACHE_STRETCH))
                self._hosts_until_s = time.monotonic() + document["ttl_s"] * stretch
                return
        if not self._hosts:
            self._hosts = [(plan.listen, 1) for plan in plans]


def _read_answer(attempt: Attempt, sent: Sent, answer: HttpAnswer) -> Attempt:
    attempt.status = answer.status
    if REFUSED_HEADER in answer.headers:
        attempt.reason = answer.headers[REFUSED_HEADER]
        attempt.not_run = answer.headers["x-cardamomquay-not-run"] == "true"
        return attempt
    attempt.answered = True
    attempt.replayed = answer.headers.get(REPLAYED_HEADER) == "true"
    attempt.answer_digest = hashlib.sha256(answer.body).hexdigest()
    try:
        document = json.loads(answer.body)
        answered_id = str(document["request_id"]).rpartition(".")[0]
        attempt.mismatched = answered_id != sent.request_id
    except (ValueError, KeyError, TypeError):
        attempt.mismatched = True
    return attempt


def _is_worth_retrying(attempt: Attempt) -> bool:
    """A caller tries again after a broken connection or a brief refusal."""
    return attempt.reason in {
        "connection_refused",
        "no_answer",
        "not_ready",
        "configuration_stale",
        "quota_unavailable",
        "pool_busy",
        "stopping",
    }

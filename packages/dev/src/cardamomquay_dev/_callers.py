"""Callers that cache look-up answers, record attempts and retry temporary failures."""

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
    from cardamomquay_dev._fleet import OrganisationPlan
    from cardamomquay_dev._fleet import Service

ATTEMPTS_MAX = 5
# Some look-up answers are kept for this many times their time to live.
CACHE_TTL_FACTOR = 3.0
THREADS_PER_ORGANISATION = 8
REASON_HEADER = "x-cardamomquay-reason"
REPLAYED_HEADER = "x-cardamomquay-replayed"
RETRY_PAUSE_S = 0.05


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, as its caller saw it.

    Parameters
    ----------
    attempt_id : str
        Request id, a dot and the number of the attempt.
    host : str
        Address of the host.
    sent_s, ended_s : float
        Unix time.
    status : int
        0 without an answer.
    reason : str
        Reason of a refusal or of a missing answer.
    not_run : bool
        Whether the caller knows that no upstream ran it.
    answered : bool
        Whether it was answered by an upstream, not refused by the host.
    mismatched : bool
        Whether the answer belongs to another request or cannot be read.
    replayed : bool
        Whether the host repeated a recorded answer.
    answer_digest : str, optional
        SHA-256 of the answer's body, in hex.
    """

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
class RequestRecord:
    """One request and all of its attempts, in order."""

    request_id: str
    organisation: str
    pool: str
    repeatable: bool
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def final_attempt(self) -> Attempt:
        """The last attempt with a status, or the last one if none has a status."""
        with_status = [attempt for attempt in self.attempts if attempt.status]
        return (with_status or self.attempts)[-1]


class OrganisationCallers:
    """The callers of one organisation.

    Parameters
    ----------
    fleet : Fleet
    organisation : OrganisationPlan
    region : str
        Region that look-ups ask for.
    seed : int
    """

    def __init__(
        self, fleet: Fleet, organisation: OrganisationPlan, region: str, seed: int
    ) -> None:
        self.organisation = organisation
        self.requests: list[RequestRecord] = []
        self._fleet = fleet
        self._region = region
        self._random = random.Random(f"{seed}/{organisation.name}")
        self._services = [s for s in SERVICES if s.owner == organisation.owner]
        self._lock = threading.Lock()
        self._hosts: list[tuple[str, int]] = []
        self._hosts_expire_s = 0.0
        self._request_count = 0

    def run(self, seconds: float) -> None:
        """Send requests with exponentially distributed gaps for `seconds`."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        with ThreadPoolExecutor(
            THREADS_PER_ORGANISATION, self.organisation.name
        ) as executor:
            while (
                due := due + self._random.expovariate(self.organisation.offered_per_s)
            ) < end:
                time.sleep(max(0.0, due - time.monotonic()))
                # Relative shares of the owner's services, in the order of `SERVICES`.
                service = self._random.choices(self._services, weights=(6, 2, 2))[0]
                executor.submit(self._send_request, service)

    def _send_request(self, service: Service) -> None:
        with self._lock:
            self._request_count += 1
            request_id = f"{self.organisation.name}-{self._request_count}"
        record = RequestRecord(
            request_id, self.organisation.name, service.pool, service.repeatable
        )
        tried: set[str] = set()
        for number in range(ATTEMPTS_MAX):
            address = self._choose_host(tried)
            attempt = self._send_attempt(record, service, address, number)
            record.attempts.append(attempt)
            if not _is_retryable(attempt):
                break
            tried.add(address)
            time.sleep(RETRY_PAUSE_S)
        with self._lock:
            self.requests.append(record)

    def _send_attempt(
        self, record: RequestRecord, service: Service, address: str, number: int
    ) -> Attempt:
        attempt_id = f"{record.request_id}.{number}"
        headers = [
            f"X-Api-Key: {self._fleet.caller_keys[self.organisation.name]}",
            f"X-Request-Id: {attempt_id}",
        ]
        if not record.repeatable:
            headers.append(f"Idempotency-Key: {record.request_id}")
        method = "GET" if record.repeatable else "POST"
        body = (
            None
            if record.repeatable
            else json.dumps({"id": record.request_id}).encode()
        )
        started = time.time()
        answer = call(
            method,
            f"http://{address}{service.prefix}/{record.request_id}",
            tuple(headers),
            body,
        )
        attempt = Attempt(attempt_id, address, started, time.time())
        if isinstance(answer, NoAnswer):
            attempt.reason = "connection_refused" if answer.refused else "no_answer"
            attempt.not_run = answer.refused
            return attempt
        return _record_answer(attempt, record, answer)

    def _choose_host(self, tried: set[str]) -> str:
        with self._lock:
            if time.monotonic() > self._hosts_expire_s or tried:
                self._look_up_hosts()
            hosts = [h for h in self._hosts if h[0] not in tried] or self._hosts
            weights = [weight for _, weight in hosts]
            return self._random.choices([h[0] for h in hosts], weights)[0]

    def _look_up_hosts(self) -> None:
        plans = list(self._fleet.hosts)
        self._random.shuffle(plans)
        for plan in plans:
            document = get_json(
                f"http://{plan.listen}/.cardamomquay/v1/hosts"
                f"?region={self._region}&organisation={self.organisation.name}"
            )
            if document and document["hosts"]:
                self._hosts = [(h["address"], h["weight"]) for h in document["hosts"]]
                # Some real callers keep look-up answers beyond their time to live.
                ttl_factor = self._random.choice((1.0, CACHE_TTL_FACTOR))
                self._hosts_expire_s = time.monotonic() + document["ttl_s"] * ttl_factor
                return
        if not self._hosts:
            self._hosts = [(plan.listen, 1) for plan in plans]


def _record_answer(
    attempt: Attempt, record: RequestRecord, answer: HttpAnswer
) -> Attempt:
    attempt.status = answer.status
    if REASON_HEADER in answer.headers:
        attempt.reason = answer.headers[REASON_HEADER]
        attempt.not_run = answer.headers["x-cardamomquay-not-run"] == "true"
        return attempt
    attempt.answered = True
    attempt.replayed = answer.headers.get(REPLAYED_HEADER) == "true"
    attempt.answer_digest = hashlib.sha256(answer.body).hexdigest()
    try:
        document = json.loads(answer.body)
        answered_id = str(document["request_id"]).rpartition(".")[0]
        attempt.mismatched = answered_id != record.request_id
    except (ValueError, KeyError, TypeError):
        attempt.mismatched = True
    return attempt


def _is_retryable(attempt: Attempt) -> bool:
    """Whether to retry: after a missing answer or a temporary refusal."""
    return attempt.reason in {
        "connection_refused",
        "no_answer",
        "not_ready",
        "configuration_stale",
        "quota_unavailable",
        "pool_busy",
        "stopping",
    }

"""Names of the headers that a host reads and sets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of a deployment, in lower case.

    Parameters
    ----------
    request_id : bytes
        Identifier of a caller's request, a new one for each of the caller's retries;
        upstreams return it in the answer.
    deadline_ms : bytes
        Time for which the sender waits, in milliseconds.
    affinity_cookie : str
        Name of the cookie that holds the key of the object that a request concerns.
    signature : bytes
        Set by an upstream in each of its own answers.
    organisation : bytes
        Name of the caller's organisation; sent to the upstream.
    expected_instance : bytes
        Instance that the request is for; any other one rejects it.
    load : bytes
        Numbers of running requests, waiting requests and slots of the upstream,
        separated by commas.
    not_executed : bytes
        Present if the upstream has not run the request.
    rate_limit : bytes
        Requests a second that the upstream accepts from all hosts together, as a
        decimal number; absent while it names no limit.
    leaving : bytes
        Present, with the value 1, in the answers of an upstream that is about to stop.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_cookie: str
    signature: bytes
    organisation: bytes
    expected_instance: bytes
    load: bytes
    not_executed: bytes
    rate_limit: bytes
    leaving: bytes

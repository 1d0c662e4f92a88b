"""Names of the headers that the relay reads and sets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case, as a deployment spells them.

    Parameters
    ----------
    request_id : bytes
        Identity of one client attempt; upstreams return it with the answer.
    deadline_ms : bytes
        How long the sender waits, in milliseconds.
    affinity_cookie : str
        Cookie that names the object a request concerns.
    signature : bytes
        Set by an upstream on each answer of its own.
    organisation : bytes
        Name of the caller's organisation, for the upstream.
    expected_instance : bytes
        Instance that alone may run the request.
    load : bytes
        Running, waiting and slots of the upstream, separated by commas.
    not_executed : bytes
        Present if the upstream did not run the request.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_cookie: str
    signature: bytes
    organisation: bytes
    expected_instance: bytes
    load: bytes
    not_executed: bytes

"""How many requests a host works on at once.

Each of them may need a connection to an upstream, and memory that grows with the time
for which upstreams hold it, not with what its caller has sent.
"""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Generator

# Share of the requests that may be those of one service. Upstreams that hold all their
# requests would otherwise keep out the requests to other services.
SERVICE_SHARE = 0.75
# Share above which a connection's requests run one after the other. Callers must not
# rely on more (RFC 9112, section 9.3.2).
PIPELINED_SHARE = 0.25


class RunningRequests:
    """Counts the requests that run, and decides which may begin.

    Parameters
    ----------
    requests_max : int
    """

    def __init__(self, requests_max: int) -> None:
        self.requests_max = requests_max
        self._count_by_service: Counter[str] = Counter()

    def __len__(self) -> int:
        return self._count_by_service.total()

    @property
    def has_room_for_pipelined(self) -> bool:
        """Whether several requests of one connection may run at once."""
        return len(self) < PIPELINED_SHARE * self.requests_max

    @contextmanager
    def run(self, service: str) -> Generator[bool]:
        """Count a request until the end of the context.

        Parameters
        ----------
        service : str

        Yields
        ------
        bool
            Whether it may run; if not, it is not counted.
        """
        counts = self._count_by_service
        service_max = max(1, int(SERVICE_SHARE * self.requests_max))
        if len(self) >= self.requests_max or counts[service] >= service_max:
            yield False
            return
        counts[service] += 1
        try:
            yield True
        finally:
            counts[service] -= 1

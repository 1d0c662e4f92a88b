"""Memory for the bodies of the requests that a host holds.

A body is held until its request is answered, since it may have to be sent to a second
upstream. Few bodies of the largest size would take all memory of a host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Smaller bodies are not counted, so that uploads cannot keep out all other requests.
COUNTED_BYTES_MIN = 65_536
DEFAULT_TOTAL_BYTES = 150_000_000


class BodyMemoryError(Exception):
    """Raised if there is no memory left for a body."""


class RequestBodies:
    """Counts the bytes of all large bodies.

    Parameters
    ----------
    total_bytes : int
        Largest number of bytes of all large bodies together.
    on_rejected : callable
        Called with the missing number of bytes when there is no memory left.
    """

    def __init__(
        self,
        total_bytes: int = DEFAULT_TOTAL_BYTES,
        on_rejected: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._total_bytes = total_bytes
        self._on_rejected = on_rejected
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> None:
        """Reserve memory.

        Raises
        ------
        BodyMemoryError
            If so much is not left.
        """
        if self.used_bytes + size_bytes > self._total_bytes:
            self._on_rejected(size_bytes)
            raise BodyMemoryError
        self.used_bytes += size_bytes


class RequestBody:
    """Body of one request.

    Parameters
    ----------
    bodies : RequestBodies
    """

    def __init__(self, bodies: RequestBodies) -> None:
        self._bodies = bodies
        self._reserved_bytes = 0
        # A list of chunks would take several times the memory if they are small.
        self.received = bytearray()

    def reserve(self, size_bytes: int) -> None:
        """Reserve memory for a body of this size.

        Raises
        ------
        BodyMemoryError
            If so much is not left.
        """
        missing_bytes = size_bytes - self._reserved_bytes
        if size_bytes <= COUNTED_BYTES_MIN or missing_bytes <= 0:
            return
        self._bodies.reserve(missing_bytes)
        self._reserved_bytes = size_bytes

    def append(self, chunk: bytes | bytearray) -> None:
        """Add bytes to the body.

        Raises
        ------
        BodyMemoryError
            If there is no memory left for them.
        """
        self.reserve(len(self.received) + len(chunk))
        self.received += chunk

    def release(self) -> None:
        """Release the memory of the body; may be called more than once."""
        self._bodies.used_bytes -= self._reserved_bytes
        self._reserved_bytes = 0

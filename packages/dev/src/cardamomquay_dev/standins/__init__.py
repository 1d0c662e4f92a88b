"""Stand-ins for the platform and the upstreams, as processes."""

from __future__ import annotations

"""Stand-ins for platform and upstreams, a load tool, a demo and benchmarks."""

from __future__ import annotations

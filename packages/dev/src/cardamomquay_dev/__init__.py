"""Stand-ins, load tool, demo and benchmarks."""

from __future__ import annotations

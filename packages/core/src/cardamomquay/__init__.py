"""Core of the traffic steering system: configuration, admission and coordination."""

from __future__ import annotations

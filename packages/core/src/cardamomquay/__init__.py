"""Coordination parts for global traffic steering."""

from __future__ import annotations

"""The traffic steering daemon."""

from __future__ import annotations

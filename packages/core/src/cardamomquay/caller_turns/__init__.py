"""Processor time of callers: who may use it next, and how much in one round."""

from __future__ import annotations

from cardamomquay.caller_turns._order import TurnOrder

__all__ = ["TurnOrder"]

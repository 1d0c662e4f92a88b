"""Membership, roles and addresses of the hosts, from their reports."""

from __future__ import annotations

from cardamomquay.fleet._view import FleetView
from cardamomquay.fleet._view import HostPhase
from cardamomquay.fleet._view import HostRecord
from cardamomquay.fleet._view import Peer

__all__ = ["FleetView", "HostPhase", "HostRecord", "Peer"]

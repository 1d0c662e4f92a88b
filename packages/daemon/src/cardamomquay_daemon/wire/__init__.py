"""Protocol between daemons, and the code generated from it."""

from __future__ import annotations

"""Plays loads against ways to choose upstreams, and plots the results.

``python -m cardamomquay_dev.lab EXPERIMENT --out=FOLDER`` runs an experiment from a
file; examples are in ``examples/experiments``.
"""

from __future__ import annotations

from cardamomquay_dev.lab._experiment import Experiment
from cardamomquay_dev.lab._experiment import load_experiment
from cardamomquay_dev.lab._measure import PolicyResult
from cardamomquay_dev.lab._measure import run_experiment

__all__ = ["Experiment", "PolicyResult", "load_experiment", "run_experiment"]

"""Simulates policies for the choice of upstreams under load, and plots the results.

``python -m cardamomquay_dev.lab EXPERIMENT --out=FOLDER`` runs the experiment in a
file; ``examples/experiments`` has examples.
"""

from __future__ import annotations

from cardamomquay_dev.lab._experiment import Experiment
from cardamomquay_dev.lab._experiment import load_experiment
from cardamomquay_dev.lab._measure import PolicyResult
from cardamomquay_dev.lab._measure import run_experiment

__all__ = ["Experiment", "PolicyResult", "load_experiment", "run_experiment"]

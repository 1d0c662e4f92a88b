from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from cardamomquay_dev.lab import Experiment
from cardamomquay_dev.lab import load_experiment
from cardamomquay_dev.lab import run_experiment
from cardamomquay_dev.lab._plot import save_plot
from cardamomquay_dev.lab._table import to_table

EXAMPLES = Path(__file__).resolve().parents[3] / "examples" / "experiments"


class ExperimentFileTest(unittest.TestCase):
    """Guards against experiment files that are invalid or misread without an error."""

    def test_examples_are_valid(self) -> None:
        paths = sorted(EXAMPLES.glob("*.json5"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path=path.name):
                load_experiment(path)

    def test_all_errors_are_reported_at_once(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "bad.json5"
            path.write_text('{name: "x", seconds: -1, hosts: {q: 1}, extra: 2}')
            with self.assertRaises(ValueError) as caught:
                load_experiment(path)
        text = str(caught.exception)
        for field in ("seconds", "hosts", "extra", "requests_per_s", "seeds"):
            self.assertIn(field, text)


class ZoneLossTest(unittest.TestCase):
    """Load pattern: a zone with a third of the upstreams is lost.

    Guards against a placement that serves callers worse than simple policies.
    """

    @classmethod
    def setUpClass(cls) -> None:
        example = load_experiment(EXAMPLES / "zone_lost.json5")
        cls.experiment: Experiment = example.model_copy(update={"seeds": [1]})
        cls.results = {r.policy: r for r in run_experiment(cls.experiment)}

    def test_placement_serves_best(self) -> None:
        best = self.results["placement"]
        for name, other in self.results.items():
            if name != "placement":
                with self.subTest(policy=name):
                    self.assertGreater(best.mean_value, other.mean_value)
                    self.assertGreater(
                        min(best.value_by_zone.values()),
                        min(other.value_by_zone.values()),
                    )

    def test_slot_utilisation_is_at_most_one(self) -> None:
        for result in self.results.values():
            self.assertTrue(
                0.0 < result.slot_utilisation <= 1.0, result.slot_utilisation
            )

    def test_the_same_seed_gives_the_same_figures(self) -> None:
        again = {r.policy: r for r in run_experiment(self.experiment)}
        for name, result in self.results.items():
            self.assertEqual(result.mean_value, again[name].mean_value)

    def test_table_and_plot(self) -> None:
        results = list(self.results.values())
        self.assertEqual(to_table(results).count("\n"), 2 + len(results))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "plot.svg"
            save_plot(self.experiment, results, path)
            self.assertIn("zone b lost", path.read_text(encoding="utf-8"))

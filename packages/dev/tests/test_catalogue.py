from __future__ import annotations

import ast
import unittest
from collections import Counter
from pathlib import Path

import cardamomquay_platform

import cardamomquay_daemon
from cardamomquay.outcomes import REFUSAL_MEANINGS
from cardamomquay.outcomes import REFUSAL_PROPERTIES
from cardamomquay.outcomes import RETRY_MEANINGS
from cardamomquay.outcomes import RefusalReason
from cardamomquay.outcomes import RetryReason
from cardamomquay.placement import AdmissionRule
from cardamomquay_daemon._telemetry import CATALOGUE
from cardamomquay_daemon._telemetry import COUNTERS
from cardamomquay_daemon.edge._events import CATALOGUE as EDGE_CATALOGUE
from cardamomquay_daemon.edge._events import COUNTERS as EDGE_COUNTERS
from cardamomquay_dev.catalogue import counters_page
from cardamomquay_dev.catalogue import events_page

DOCS = Path(__file__).resolve().parents[3] / "docs"
DAEMON_SOURCE = Path(cardamomquay_daemon.__file__).parent
PLATFORM_SOURCE = Path(cardamomquay_platform.__file__).parent


def counted_names(*folders: Path) -> set[str]:
    """Return the constant names that sources pass to a telemetry object's ``count``."""
    names = set()
    for path in (path for folder in folders for path in folder.glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == "count"
                and "telemetry" in ast.unparse(node.func.value)
                and isinstance(node.args[0], ast.Constant)
            ):
                names.add(str(node.args[0].value))
    return names


class CatalogueTest(unittest.TestCase):
    """Guards against events and counters that are missing from the pages."""

    def test_pages_agree_with_the_catalogues(self) -> None:
        # `python -m cardamomquay_dev.catalogue` writes both pages.
        for name, page in (("events", events_page()), ("counters", counters_page())):
            with self.subTest(name):
                text = (DOCS / f"{name}.md").read_text(encoding="utf-8")
                self.assertEqual(text, page)

    def test_numbers_and_names_are_unique(self) -> None:
        for values in (
            [event.number for event in (*CATALOGUE, *EDGE_CATALOGUE)],
            [event.name for event in (*CATALOGUE, *EDGE_CATALOGUE)],
        ):
            repeated = [value for value, count in Counter(values).items() if count > 1]
            self.assertEqual(repeated, [])

    def test_every_reason_has_properties_and_a_meaning(self) -> None:
        self.assertEqual(set(REFUSAL_PROPERTIES), set(RefusalReason))
        self.assertEqual(set(REFUSAL_MEANINGS), set(RefusalReason))
        self.assertEqual(set(RETRY_MEANINGS), set(RetryReason))

    def test_every_counter_in_the_sources_is_listed(self) -> None:
        # `effects.failed` is counted by the telemetry object itself.
        counted = counted_names(DAEMON_SOURCE) | {"effects.failed"}
        self.assertEqual(counted, set(COUNTERS))

    def test_every_counter_of_the_event_loop_is_listed(self) -> None:
        # The telemetry object counts two by itself. The other names are not constants
        # at their calls.
        counted = counted_names(DAEMON_SOURCE / "edge", PLATFORM_SOURCE)
        counted |= {"log.lines_dropped", "tasks.failed"}
        counted |= {"lookups.answered", "lookups.empty"}
        counted |= {name for name in EDGE_COUNTERS if name.startswith("store.")}
        # Decisions of the rule that knows no priorities are not counted.
        rules = set(AdmissionRule) - {AdmissionRule.QUEUE}
        counted |= {f"admission.{rule}" for rule in rules}
        self.assertEqual(counted, set(EDGE_COUNTERS))


if __name__ == "__main__":
    unittest.main()

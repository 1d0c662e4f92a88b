from __future__ import annotations

import importlib
import re
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

import annotated_types

from cardamomquay.config._row_models import ROW_MODELS
from cardamomquay.config._row_models import MoveModel
from cardamomquay.config._row_models import UpstreamModel
from cardamomquay_cli._results import EXIT_MEANINGS
from cardamomquay_daemon._settings import Limits
from cardamomquay_daemon._settings import LimitsModel
from cardamomquay_daemon._settings import Settings
from cardamomquay_daemon._settings import SettingsModel
from cardamomquay_daemon._settings import load_settings

ROOT = Path(__file__).resolve().parents[3]
LIMITS = (ROOT / "docs" / "limits.md").read_text(encoding="utf-8")
EXAMPLE_OUTPUT = """/browse/partners: browse
/browser: no route
routes/browse: pool found 'none', expected the name of a pool
at once: [True, True, False]; the next in 0.5 s
after 0.5 s: True
hosts for qc-a: host-1 (weight 400), host-0 (weight 100)
"""


def table_rows(section: str) -> dict[str, list[str]]:
    """Return the cells of a section's table by the name in its first column."""
    text = LIMITS.partition(f"## {section}\n")[2].partition("\n## ")[0]
    rows = re.findall(r"^\| `([^`]+)` \| (.*) \|$", text, re.MULTILINE)
    return {name: cells.split(" | ") for name, cells in rows}


def bounds(field: Any) -> tuple[str, str]:
    """Return minimum and maximum of a pydantic field as the page writes them."""
    least = most = ""
    for item in field.metadata:
        match item:
            case annotated_types.Ge(ge=value):
                least = f"{value}"
            case annotated_types.Gt(gt=value):
                least = f"above {value}"
            case annotated_types.Le(le=value):
                most = f"{int(value)}"
    return least, most


class LimitsPageTest(unittest.TestCase):
    """Guards against a limits page that differs from the code."""

    def test_settings(self) -> None:
        expected = {
            name: [str(field.default), *bounds(field)]
            for name, field in LimitsModel.model_fields.items()
        }
        found = {name: cells[:3] for name, cells in table_rows("Settings").items()}
        self.assertEqual(found, expected)

    def test_rows(self) -> None:
        models = {
            "pools.upstreams": UpstreamModel,
            "routes.move": MoveModel,
            **ROW_MODELS,
        }
        rows = table_rows("Configuration rows")
        self.assertGreater(len(rows), 5)
        for name, cells in rows.items():
            model, _, field = name.rpartition(".")
            with self.subTest(name):
                found = bounds(models[model].model_fields[field])
                self.assertEqual(found, (cells[0], cells[1]))

    def test_constants(self) -> None:
        rows = table_rows("Constants")
        self.assertGreater(len(rows), 10)
        for name, cells in rows.items():
            module, _, constant = name.rpartition(".")
            with self.subTest(name):
                value = getattr(importlib.import_module(module), constant)
                self.assertEqual(str(value), cells[0])


class ExamplesTest(unittest.TestCase):
    """Guards against examples that do not run or miss a setting."""

    def test_settings(self) -> None:
        path = ROOT / "examples" / "settings.json"
        settings = load_settings(path)
        assert isinstance(settings, Settings), settings
        self.assertEqual(settings.limits, Limits())
        text = path.read_text(encoding="utf-8")
        for name in (*SettingsModel.model_fields, *LimitsModel.model_fields):
            self.assertIn(f'"{name}"', text)

    def test_embedded_parts(self) -> None:
        result = subprocess.run(
            [sys.executable, str(ROOT / "examples" / "embedded_parts.py")],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        self.assertEqual((result.stdout, result.stderr), (EXAMPLE_OUTPUT, ""))


class ExitCodesTest(unittest.TestCase):
    """Guards against exit codes that are missing from the operators' page."""

    def test_page(self) -> None:
        page = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
        for code, meaning in EXIT_MEANINGS.items():
            self.assertIn(f"| {code:d} | {meaning} |", page)


if __name__ == "__main__":
    unittest.main()

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from fleet_ports import reserved_ports

from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev.playground import running_playground

ROOT = Path(__file__).resolve().parents[3]
CONSOLE = re.compile(r"```console\n(.*?)```", re.DOTALL)
# Parts of the outputs that differ between runs.
VARYING_OUTPUT = (
    (re.compile(r"\d{4}-\d\d-\d\dT[\d:.+]+"), "TIME"),
    (re.compile(r"\.[0-9a-f]{40}\b"), ".SECRET"),
    (re.compile(r"\b([a-z]+)-[0-9a-f]{8}\b"), r"\1-ID"),
)


def mask_varying_output(text: str) -> str:
    for pattern, replacement in VARYING_OUTPUT:
        text = pattern.sub(replacement, text)
    return text.rstrip("\n")


def console_commands(page: str) -> list[tuple[str, str]]:
    """Return the commands in a page's console blocks, but for the playground's start.

    Each comes with the output that the page shows.
    """
    text = (ROOT / page).read_text(encoding="utf-8")
    commands = []
    for block in CONSOLE.findall(text):
        for part in block.split("$ ")[1:]:
            command, _, output = part.partition("\n")
            if "playground" not in command:
                commands.append((command, output))
    return commands


class TourTest(unittest.TestCase):
    """Guards against commands and outputs in pages that are out of date."""

    def test_commands_print_what_the_pages_show(self) -> None:
        for page in ("README.md", "docs/operators.md"):
            with (
                self.subTest(page),
                tempfile.TemporaryDirectory() as directory,
                reserved_ports() as base_port,
            ):
                fleet = plan_fleet(Path(directory), base_port, hosts=4)
                with running_playground(fleet) as environment:
                    self._check(page, environment)

    def _check(self, page: str, environment: Path) -> None:
        path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
        commands = console_commands(page)
        self.assertGreater(len(commands), 5)
        for command, expected in commands:
            result = subprocess.run(
                ["/bin/sh", "-c", f". {environment}\n{command}"],
                env={**os.environ, "PATH": path},
                cwd=environment.parent,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=60,
                check=False,
            )
            self.assertEqual(
                mask_varying_output(result.stdout),
                mask_varying_output(expected),
                command,
            )


if __name__ == "__main__":
    unittest.main()

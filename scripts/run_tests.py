"""Run every test of the workspace and print one closing line.

Cases listed in ``KNOWN-RED.txt`` run too and are reported, but do not fail the run.
"""

from __future__ import annotations

import re
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    text = KNOWN_RED.read_text(encoding="utf-8")
    return set(re.findall(r"^test: (\S+)$", text, re.MULTILINE))


def main() -> int:
    suite = unittest.TestSuite()
    for package in (*sorted((ROOT / "packages").iterdir()), ROOT / "platform"):
        tests = package / "tests"
        if tests.is_dir():
            # A loader keeps its top-level directory, so each package gets its own.
            loader = unittest.TestLoader()
            suite.addTests(loader.discover(str(tests), top_level_dir=str(tests)))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known_red = read_known_red()
    # The id of a subtest is the id of its test, a space and the parameters.
    failed = {test.id().split(" ")[0] for test, _ in (*result.failures, *result.errors)}
    for name in sorted(failed & known_red):
        print(f"known red: {name}")
    for name in sorted(known_red - failed):
        print(f"listed in KNOWN-RED.txt but did not fail: {name}")
    unexpected = failed - known_red
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())

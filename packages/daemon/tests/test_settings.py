from __future__ import annotations

import json
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_daemon._settings import Settings
from cardamomquay_daemon._settings import load_settings

if TYPE_CHECKING:
    from cardamomquay.outcomes import Finding

GOOD: dict[str, Any] = {
    "host": "host-0",
    "region": "mtl",
    "availability_zone": "mtl-a",
    "store_region": "mtl",
    "listen": "127.0.0.1:1001",
    "operator_listen": "127.0.0.1:1002",
    "peer_listen": "127.0.0.1:1003",
    "platform": "http://127.0.0.1:1004",
}


class SettingsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "settings.json"

    def load(self, text: str) -> Settings | tuple[Finding, ...]:
        self.path.write_text(text, encoding="utf-8")
        return load_settings(self.path)

    def findings(self, text: str) -> list[tuple[int | None, str, str, str]]:
        found = self.load(text)
        assert isinstance(found, tuple), found
        self.assertEqual({finding.source for finding in found}, {str(self.path)})
        return [(f.line, f.path, f.found, f.expected) for f in found]


class FindingsTest(SettingsTestCase):
    """Guards against a daemon that starts with mistyped or inconsistent settings."""

    def test_cases(self) -> None:
        cases: dict[str, tuple[dict[str, Any], tuple[str, str, str]]] = {
            "port 0": (
                {"listen": "127.0.0.1:0"},
                ("listen", "'127.0.0.1:0'", "ip:port with a port of 1 to 65535"),
            ),
            "host name": (
                {"listen": "localhost:80"},
                (
                    "listen",
                    "'localhost:80'",
                    "ip:port with an IPv4 or bracketed IPv6 number",
                ),
            ),
            "same address twice": (
                {"peer_listen": "127.0.0.1:1001"},
                ("peer_listen", "'127.0.0.1:1001'", "another address than listen"),
            ),
            "unknown field": ({"colour": 1}, ("colour", "1", "no such field")),
            "number for a name": ({"host": 5}, ("host", "5", "a string")),
            "no threads": (
                {"limits": {"request_threads": 0}},
                ("limits.request_threads", "0", "a number of at least 1"),
            ),
            "text for a number": (
                {"limits": {"body_bytes": "1"}},
                ("limits.body_bytes", "'1'", "a whole number"),
            ),
            "absent file": (
                {"tls": {"certificate": "/none", "private_key": "/none"}},
                (
                    "tls.certificate",
                    "'/none' (No such file or directory)",
                    "a readable file",
                ),
            ),
        }
        for name, (change, expected) in cases.items():
            with self.subTest(name):
                found = self.findings(json.dumps({**GOOD, **change}))
                self.assertIn(expected, [finding[1:] for finding in found])

    def test_all_findings_with_their_lines(self) -> None:
        text = """// listen: in a comment is no field
{
  /* "host": "x",
     several lines */
  host: 'Host 0', region: "mtl",
  "availability_zone": "a // no comment",
  store_region: "mtl",
  "platform": "http://127.0.0.1:7000",
  peer_tls: {certificate: "/none"},
  limits: {
    // request_threads: 1
    "header_bytes": 5, "body_bytes": -1,
    body_bytes: 7,
  },
  operator_listen: "127.0.0.1:1", peer_listen: "127.0.0.1:2",
}
"""
        found = self.findings(text)
        self.assertEqual(
            [(line, path) for line, path, _, _ in found],
            [
                (2, "listen"),
                (5, "host"),
                (6, "availability_zone"),
                (9, "peer_tls.private_key"),
                (9, "peer_tls.certificate"),
                (12, "limits.header_bytes"),
                (13, "limits.body_bytes"),
            ],
        )
        self.assertEqual(found[0], (2, "listen", "nothing", "a value"))

    def test_syntax(self) -> None:
        cases = {
            "no value": ('{\n"host": }', 2),
            "no document": ("", None),
            "not closed": ("{\n\n", 3),
        }
        for name, (text, line) in cases.items():
            with self.subTest(name):
                found = self.findings(text)
                self.assertEqual([f[0] for f in found], [line])
        self.assertEqual(self.findings("[]")[0][3], "an object")

    def test_comments_are_allowed(self) -> None:
        text = json.dumps(GOOD).replace("{", "{ // a comment\n/* another */", 1)
        self.assertIsInstance(self.load(text), Settings)


class DaemonTest(SettingsTestCase):
    """Guards against a daemon that listens before its settings are checked."""

    def test_bad_settings_exit_with_2_before_listening(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            # An attempt to listen on the used port would end with another exit code.
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            document = {**GOOD, "listen": address, "region": "", "colour": 1}
            self.path.write_text(json.dumps(document, indent=1), encoding="utf-8")
            result = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "cardamomquay_daemon.main",
                    f"--settings={self.path}",
                ],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
        self.assertEqual(result.returncode, 2)
        self.assertEqual(
            result.stderr.splitlines(),
            [
                f"{self.path}:3: region found '', expected a string that matches "
                "^[a-z0-9][a-z0-9_.-]{0,63}$",
                f"{self.path}:10: colour found 1, expected no such field",
            ],
        )


if __name__ == "__main__":
    unittest.main()

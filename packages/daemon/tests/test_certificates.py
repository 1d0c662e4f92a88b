from __future__ import annotations

import tempfile
import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path

import trustme

from cardamomquay_daemon._certificates import check_certificate_files
from cardamomquay_daemon._certificates import days_until_expiry

NOW = datetime.now(UTC)


class CheckTest(unittest.TestCase):
    """Guards against a listener that starts and then fails every handshake."""

    def setUp(self) -> None:
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        authority = trustme.CA()
        self.authority = self.write("ca.pem", authority.cert_pem.bytes())
        issued = authority.issue_cert("127.0.0.1", not_after=NOW + timedelta(days=3))
        self.certificate = self.write("cert.pem", issued.cert_chain_pems[0].bytes())
        self.key = self.write("key.pem", issued.private_key_pem.bytes())
        other = authority.issue_cert("127.0.0.1")
        self.other_key = self.write("other.pem", other.private_key_pem.bytes())

    def write(self, name: str, data: bytes) -> str:
        path = self.directory / name
        path.write_bytes(data)
        return str(path)

    def test_cases(self) -> None:
        text = self.write("text.pem", b"no certificate\n")
        good = {"certificate": self.certificate, "private_key": self.key}
        cases: dict[str, tuple[dict[str, str], datetime, list[tuple[str, str]]]] = {
            "good": ({**good, "client_authority": self.authority}, NOW, []),
            "absent": (
                {**good, "certificate": "/none"},
                NOW,
                [("certificate", "a readable file")],
            ),
            "directory": (
                {**good, "private_key": str(self.directory)},
                NOW,
                [("private_key", "a readable file")],
            ),
            "no certificate": (
                {**good, "certificate": text},
                NOW,
                [("certificate", "a file of PEM certificates")],
            ),
            "no key": (
                {**good, "private_key": self.certificate},
                NOW,
                [("private_key", "a PEM private key without a passphrase")],
            ),
            "key of another certificate": (
                {**good, "private_key": self.other_key},
                NOW,
                [("private_key", f"the key of the certificate {self.certificate!r}")],
            ),
            "expired": (
                good,
                NOW + timedelta(days=4),
                [("certificate", "a certificate that has not expired")],
            ),
            "not valid yet": (
                good,
                datetime(1999, 1, 1, tzinfo=UTC),
                [("certificate", "a certificate that is valid already")],
            ),
            "no authority": (
                {**good, "client_authority": self.certificate},
                NOW,
                [("client_authority", "certificates of certificate authorities")],
            ),
            "two faults": (
                {"certificate": "/none", "private_key": text},
                NOW,
                [
                    ("certificate", "a readable file"),
                    ("private_key", "a PEM private key without a passphrase"),
                ],
            ),
        }
        for name, (files, now, expected) in cases.items():
            with self.subTest(name):
                faults = check_certificate_files(files, now)
                self.assertEqual([(f.field, f.expected) for f in faults], expected)

    def test_days_until_expiry(self) -> None:
        self.assertAlmostEqual(days_until_expiry(self.certificate, NOW), 3, places=2)


if __name__ == "__main__":
    unittest.main()

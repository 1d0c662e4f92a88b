"""Checks the certificate files of a listener."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.hazmat.primitives.serialization import PublicFormat
from cryptography.hazmat.primitives.serialization import load_pem_private_key

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

# Certificates with less time left are reported at the start of a daemon.
EXPIRY_NOTICE = timedelta(days=14)


@dataclass(frozen=True, slots=True)
class FileFault:
    """What is wrong with one file of a listener."""

    field: str
    found: str
    expected: str


def check_certificate_files(
    files: Mapping[str, str], now: datetime | None = None
) -> tuple[FileFault, ...]:
    """Check that files exist, are certificates, belong together and are in time.

    Parameters
    ----------
    files : mapping
        Paths of `certificate`, `private_key` and perhaps `client_authority`.
    now : datetime, optional
        Time to check against.

    Returns
    -------
    tuple of FileFault
    """
    return tuple(_faults(files, now or datetime.now(UTC)))


def days_left(path: str, now: datetime | None = None) -> float:
    """Return the days until the first certificate of a file expires."""
    certificate = x509.load_pem_x509_certificates(Path(path).read_bytes())[0]
    left = certificate.not_valid_after_utc - (now or datetime.now(UTC))
    return left / timedelta(days=1)


def _faults(files: Mapping[str, str], now: datetime) -> Iterator[FileFault]:
    contents: dict[str, bytes] = {}
    for field, path in files.items():
        try:
            contents[field] = Path(path).read_bytes()
        except OSError as exc:
            text = exc.strerror or type(exc).__name__
            yield FileFault(field, f"{path!r} ({text})", "a readable file")
    certificates = None
    for field in ("certificate", "client_authority"):
        if field not in contents:
            continue
        loaded = _load_certificates(contents[field])
        if loaded is None:
            yield FileFault(field, repr(files[field]), "a file of PEM certificates")
            continue
        yield from _time_faults(field, files[field], loaded, now)
        if field == "certificate":
            certificates = loaded
        elif not all(_is_authority(certificate) for certificate in loaded):
            expected = "certificates of certificate authorities"
            yield FileFault(field, repr(files[field]), expected)
    if "private_key" not in contents:
        return
    public_key = _public_key(contents["private_key"])
    if public_key is None:
        expected = "a PEM private key without a passphrase"
        yield FileFault("private_key", repr(files["private_key"]), expected)
    elif certificates is not None and public_key != _public_bytes(certificates[0]):
        expected = f"the key of the certificate {files['certificate']!r}"
        yield FileFault("private_key", repr(files["private_key"]), expected)


def _load_certificates(data: bytes) -> list[x509.Certificate] | None:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        return None


def _time_faults(
    field: str, path: str, certificates: list[x509.Certificate], now: datetime
) -> Iterator[FileFault]:
    for certificate in certificates:
        end = certificate.not_valid_after_utc
        start = certificate.not_valid_before_utc
        if end < now:
            found = f"{path!r}, expired on {end:%Y-%m-%d %H:%M} UTC"
            yield FileFault(field, found, "a certificate that has not expired")
        if start > now:
            found = f"{path!r}, valid from {start:%Y-%m-%d %H:%M} UTC"
            yield FileFault(field, found, "a certificate that is valid already")


def _is_authority(certificate: x509.Certificate) -> bool:
    try:
        constraints = certificate.extensions.get_extension_for_class(
            x509.BasicConstraints
        )
    except x509.ExtensionNotFound:
        return False
    return constraints.value.ca


def _public_key(data: bytes) -> bytes | None:
    try:
        key = load_pem_private_key(data, password=None)
    except (TypeError, ValueError):
        return None
    return key.public_key().public_bytes(
        Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    )


def _public_bytes(certificate: x509.Certificate) -> bytes:
    return certificate.public_key().public_bytes(
        Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    )

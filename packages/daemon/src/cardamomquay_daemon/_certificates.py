"""Checks the certificate files that the settings name for a listener."""

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

# At its start, a daemon logs each certificate that expires within this time.
EXPIRY_NOTICE_PERIOD = timedelta(days=14)


@dataclass(frozen=True, slots=True)
class FileFault:
    """What is wrong with one file of a listener.

    Parameters
    ----------
    field : str
        Field of the settings that names the file.
    found : str
        Path of the file. For an unreadable file the read error follows, for a
        certificate that is not valid now the time at which it expired or becomes valid.
    expected : str
        Description of a valid file.
    """

    field: str
    found: str
    expected: str


def check_certificate_files(
    files: Mapping[str, str], now: datetime | None = None
) -> tuple[FileFault, ...]:
    """Check that files are readable, well-formed, valid now, and match each other.

    Parameters
    ----------
    files : mapping
        Paths by the names `certificate`, `private_key` and `client_authority`, of which
        any may be missing.
    now : datetime, optional
        Time at which the certificates must be valid; by default the current time.

    Returns
    -------
    tuple of FileFault
    """
    return tuple(_find_faults(files, now or datetime.now(UTC)))


def days_until_expiry(path: str, now: datetime | None = None) -> float:
    """Return the days until a listener's certificate expires.

    It is the certificate at the beginning of the file; those of intermediate
    authorities may follow.
    """
    certificate = x509.load_pem_x509_certificates(Path(path).read_bytes())[0]
    remaining = certificate.not_valid_after_utc - (now or datetime.now(UTC))
    return remaining / timedelta(days=1)


def _find_faults(files: Mapping[str, str], now: datetime) -> Iterator[FileFault]:
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
        yield from _validity_faults(field, files[field], loaded, now)
        if field == "certificate":
            certificates = loaded
        elif not all(_is_ca(certificate) for certificate in loaded):
            expected = "certificates of certificate authorities"
            yield FileFault(field, repr(files[field]), expected)
    if "private_key" not in contents:
        return
    public_key = _public_key_of_private_key(contents["private_key"])
    if public_key is None:
        expected = "a PEM private key without a passphrase"
        yield FileFault("private_key", repr(files["private_key"]), expected)
    elif certificates is not None and public_key != _public_key_of_certificate(
        certificates[0]
    ):
        expected = f"the key of the certificate {files['certificate']!r}"
        yield FileFault("private_key", repr(files["private_key"]), expected)


def _load_certificates(data: bytes) -> list[x509.Certificate] | None:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        return None


def _validity_faults(
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


def _is_ca(certificate: x509.Certificate) -> bool:
    try:
        basic_constraints = certificate.extensions.get_extension_for_class(
            x509.BasicConstraints
        )
    except x509.ExtensionNotFound:
        return False
    return basic_constraints.value.ca


def _public_key_of_private_key(data: bytes) -> bytes | None:
    try:
        key = load_pem_private_key(data, password=None)
    except (TypeError, ValueError):
        return None
    return key.public_key().public_bytes(
        Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    )


def _public_key_of_certificate(certificate: x509.Certificate) -> bytes:
    return certificate.public_key().public_bytes(
        Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    )

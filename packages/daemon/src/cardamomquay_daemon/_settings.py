"""Settings of a daemon, read from a JSON5 file and validated at its start."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import json5
from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from cardamomquay.config import check_address
from cardamomquay.config import expected_text
from cardamomquay.config import found_text
from cardamomquay.outcomes import Finding
from cardamomquay_daemon._certificates import check_certificate_files
from cardamomquay_daemon._json5_lines import DocumentLines
from cardamomquay_daemon._json5_lines import locate_fields

if TYPE_CHECKING:
    from pathlib import Path

    from pydantic_core import ErrorDetails

LISTENER_FIELDS = ("listen", "operator_listen", "peer_listen")
TLS_SECTIONS = ("tls", "operator_tls", "peer_tls")
# Beginning of the error messages of `json5`.
SYNTAX_ERROR_PATTERN = re.compile(r"<string>:(?P<line>\d+) ")

Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,63}$")]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+$")]


class _StrictModel(BaseModel):
    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class LimitsModel(_StrictModel):
    """Schema of the `limits` section."""

    request_threads: int = Field(default=32, ge=1, le=512)
    header_bytes: int = Field(default=16_384, ge=1024, le=1_048_576)
    body_bytes: int = Field(default=1_048_576, ge=0, le=104_857_600)
    answer_bytes: int = Field(default=8_388_608, ge=1024, le=104_857_600)
    idle_timeout_s: float = Field(default=10.0, gt=0, le=600)
    event_queue: int = Field(default=10_000, ge=100, le=1_000_000)
    stop_wait_s: float = Field(default=6.0, ge=0, le=600)


class TlsModel(_StrictModel):
    """Schema of a section with the certificate files of a listener."""

    certificate: str
    private_key: str
    client_authority: str | None = None


class SettingsModel(_StrictModel):
    """Schema of the settings file."""

    host: Name
    region: Name
    availability_zone: Name
    store_region: Name
    listen: Address
    operator_listen: Address
    peer_listen: Address
    platform: Url
    statsd: Address | None = None
    log_file: str | None = None
    limits: LimitsModel = LimitsModel()
    tls: TlsModel | None = None
    operator_tls: TlsModel | None = None
    peer_tls: TlsModel | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits and timeouts of a daemon.

    Parameters
    ----------
    request_threads : int
        Number of threads of each of the two HTTP listeners.
    header_bytes, body_bytes : int
        Maximum size of a request's header and body.
    answer_bytes : int
        Maximum size of an upstream's answer.
    idle_timeout_s : float
        Time after which an idle connection to an HTTP listener is closed, rounded to
        whole seconds and at least 1 s. Also, without rounding, the time allowed for
        reading a request or for writing an answer; each transferred byte adds to it.
    event_queue : int
        Maximum number of events that wait for the reducer; further ones are dropped.
    stop_wait_s : float
        Time for which the listeners stay open after a planned stop was announced.
    """

    request_threads: int = 32
    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    answer_bytes: int = 8_388_608
    idle_timeout_s: float = 10.0
    event_queue: int = 10_000
    stop_wait_s: float = 6.0


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificate files of a listener.

    Parameters
    ----------
    certificate, private_key : str
        Paths of the listener's certificate, with any intermediate ones after it, and
        of its key.
    client_authority : str or None
        Path of the certificates of the authorities that issue clients' certificates.
        With None, clients need no certificate; the peer listener requires a path.
    """

    certificate: str
    private_key: str
    client_authority: str | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a daemon.

    Parameters
    ----------
    host : str
        Name of the host.
    region, availability_zone : str
        Location of the host.
    store_region : str
        Region of the platform's table service (the store).
    listen, operator_listen, peer_listen : str
        ``ip:port`` on which the daemon serves callers, operators and other daemons.
    platform : str
        Base URL of the platform.
    statsd : str or None
        ``ip:port`` of the statsd server; with None, no counters are sent.
    log_file : str or None
        With None, log events go to standard error.
    limits : Limits
    tls, operator_tls, peer_tls : TlsFiles or None
        Certificate files of the three listeners; one with None does not use TLS.
    """

    host: str
    region: str
    availability_zone: str
    store_region: str
    listen: str
    operator_listen: str
    peer_listen: str
    platform: str
    statsd: str | None = None
    log_file: str | None = None
    limits: Limits = Limits()
    tls: TlsFiles | None = None
    operator_tls: TlsFiles | None = None
    peer_tls: TlsFiles | None = None


def load_settings(path: Path) -> Settings | tuple[Finding, ...]:
    """Read a settings file.

    Parameters
    ----------
    path : Path

    Returns
    -------
    Settings or tuple of Finding
        All findings of the file if it is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        return (Finding(str(path), "", exc.strerror or "no file", "a readable file"),)
    except UnicodeDecodeError:
        return (Finding(str(path), "", "bytes that are not UTF-8", "UTF-8 text"),)
    try:
        document = json5.loads(text)
    except ValueError as exc:
        return (_syntax_finding(path, str(exc)),)
    lines = locate_fields(text)
    findings = [
        Finding(
            str(path), _dotted_path(field_path), "a second value", "one value", line
        )
        for field_path, line in lines.duplicates
    ]
    model = None
    try:
        model = SettingsModel.model_validate(document)
    except ValidationError as exc:
        findings += [_validation_finding(path, lines, error) for error in exc.errors()]
    if isinstance(document, dict):
        findings += _check_tls_files(path, lines, document)
        findings += _check_distinct_addresses(path, lines, document)
    if findings or model is None:
        return tuple(sorted(findings, key=lambda finding: finding.line or 0))
    return _to_settings(model)


def _syntax_finding(path: Path, message: str) -> Finding:
    match = SYNTAX_ERROR_PATTERN.match(message)
    line = int(match["line"]) if match else None
    found = message[match.end() :] if match else message
    return Finding(str(path), "", found, "JSON with comments", line)


def _validation_finding(
    path: Path, lines: DocumentLines, error: ErrorDetails
) -> Finding:
    return Finding(
        source=str(path),
        path=_dotted_path(error["loc"]),
        found=found_text(error),
        expected=expected_text(error),
        line=lines.line_of(error["loc"]),
    )


def _dotted_path(location: tuple[str | int, ...]) -> str:
    return ".".join(str(part) for part in location)


def _check_tls_files(
    path: Path, lines: DocumentLines, document: dict[str, Any]
) -> list[Finding]:
    findings = []
    for section in TLS_SECTIONS:
        values = document.get(section)
        if not isinstance(values, dict):
            continue
        files = {
            name: value
            for name, value in values.items()
            if name in TlsModel.model_fields and isinstance(value, str)
        }
        findings += [
            Finding(
                str(path),
                f"{section}.{fault.field}",
                fault.found,
                fault.expected,
                lines.line_of((section, fault.field)),
            )
            for fault in check_certificate_files(files)
        ]
    return findings


def _check_distinct_addresses(
    path: Path, lines: DocumentLines, document: dict[str, Any]
) -> list[Finding]:
    findings = []
    first_use: dict[Any, str] = {}
    for name in LISTENER_FIELDS:
        address = document.get(name)
        if not isinstance(address, str):
            continue
        if address in first_use:
            findings.append(
                Finding(
                    str(path),
                    name,
                    repr(address),
                    f"another address than {first_use[address]}",
                    lines.line_of((name,)),
                )
            )
        first_use.setdefault(address, name)
    return findings


def _to_settings(model: SettingsModel) -> Settings:
    values = model.model_dump(
        exclude={"limits", "tls", "operator_tls", "peer_tls"}, mode="python"
    )
    return Settings(
        **values,
        limits=Limits(**model.limits.model_dump()),
        tls=_tls_files(model.tls),
        operator_tls=_tls_files(model.operator_tls),
        peer_tls=_tls_files(model.peer_tls),
    )


def _tls_files(model: TlsModel | None) -> TlsFiles | None:
    return None if model is None else TlsFiles(**model.model_dump())

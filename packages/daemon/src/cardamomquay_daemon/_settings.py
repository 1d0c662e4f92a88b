"""Settings of a daemon: JSON with comments, validated before it listens."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import json5
from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from cardamomquay.config import check_address
from cardamomquay.outcomes import Finding

Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,63}$")]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+$")]


class _Border(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class LimitsModel(_Border):
    """Limits at the border of a daemon."""

    request_threads: int = Field(default=32, ge=1, le=512)
    header_bytes: int = Field(default=16_384, ge=1024, le=1_048_576)
    body_bytes: int = Field(default=1_048_576, ge=0, le=104_857_600)
    answer_bytes: int = Field(default=8_388_608, ge=1024, le=104_857_600)
    idle_timeout_s: float = Field(default=10.0, gt=0, le=600)
    event_queue: int = Field(default=10_000, ge=100, le=1_000_000)
    stop_wait_s: float = Field(default=6.0, ge=0, le=600)


class TlsModel(_Border):
    """Certificate files of the listeners."""

    certificate: str
    private_key: str
    client_authority: str | None = None


class SettingsModel(_Border):
    """Border model of the settings file."""

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
    """Limits at the border of a daemon; bytes and seconds."""

    request_threads: int = 32
    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    answer_bytes: int = 8_388_608
    idle_timeout_s: float = 10.0
    event_queue: int = 10_000
    stop_wait_s: float = 6.0


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificate files of a listener."""

    certificate: str
    private_key: str
    client_authority: str | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a daemon."""

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
        All findings together if the file cannot be used.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        return (Finding(str(path), "", exc.strerror or "no file", "a readable file"),)
    try:
        document = json5.loads(text)
    except ValueError as exc:
        return (Finding(str(path), "", str(exc), "JSON with comments"),)
    try:
        model = SettingsModel.model_validate(document)
    except ValidationError as exc:
        return tuple(_finding(path, text, error) for error in exc.errors())
    findings = _check_files(path, text, model)
    return findings or _to_settings(model)


def _finding(path: Path, text: str, error: object) -> Finding:
    assert isinstance(error, dict)
    location = [str(part) for part in error["loc"]]
    missing = error["type"] == "missing"
    return Finding(
        source=str(path),
        path=".".join(location),
        found="nothing" if missing else repr(error["input"]),
        expected=error["msg"],
        line=None if missing else _line_of(text, location),
    )


def _line_of(text: str, location: list[str]) -> int | None:
    """Find the line of a nested key by searching its keys in order."""
    line = None
    lines = text.splitlines()
    start = 0
    for key in location:
        for number in range(start, len(lines)):
            stripped = lines[number].split("//")[0]
            if f'"{key}"' in stripped or f"{key}:" in stripped.replace(" ", ""):
                start, line = number, number + 1
                break
    return line


def _check_files(path: Path, text: str, model: SettingsModel) -> tuple[Finding, ...]:
    findings = []
    for field in ("tls", "operator_tls", "peer_tls"):
        files: TlsModel | None = getattr(model, field)
        if files is None:
            continue
        for name, value in files.model_dump().items():
            if value is not None and not Path(value).is_file():
                findings.append(
                    Finding(
                        str(path),
                        f"{field}.{name}",
                        repr(value),
                        "a readable file",
                        _line_of(text, [field, name]),
                    )
                )
    ports = [model.listen, model.operator_listen, model.peer_listen]
    if len(set(ports)) < len(ports):
        findings.append(
            Finding(
                str(path),
                "listen",
                ", ".join(ports),
                "three different addresses",
                _line_of(text, ["listen"]),
            )
        )
    return tuple(findings)


def _to_settings(model: SettingsModel) -> Settings:
    values = model.model_dump(
        exclude={"limits", "tls", "operator_tls", "peer_tls"}, mode="python"
    )
    return Settings(
        **values,
        limits=Limits(**model.limits.model_dump()),
        tls=_tls(model.tls),
        operator_tls=_tls(model.operator_tls),
        peer_tls=_tls(model.peer_tls),
    )


def _tls(model: TlsModel | None) -> TlsFiles | None:
    return None if model is None else TlsFiles(**model.model_dump())

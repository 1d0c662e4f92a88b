"""Pydantic models that validate configuration rows, and their conversion."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
from typing import Literal

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from cardamomquay.config._finding_texts import expected_text
from cardamomquay.config._finding_texts import found_text
from cardamomquay.config._model import HostConfig
from cardamomquay.config._model import Link
from cardamomquay.config._model import MovePlan
from cardamomquay.config._model import Organisation
from cardamomquay.config._model import Pool
from cardamomquay.config._model import RegionCapacity
from cardamomquay.config._model import Route
from cardamomquay.config._model import StoredKey
from cardamomquay.config._model import Upstream
from cardamomquay.outcomes import Finding

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.platform import RowKey

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
PORT_MAX = 65535
IPV6_VERSION = 6
# Findings are displayed and logged, so they omit the values of rows of these tables:
# a secret may have been entered in the wrong field. `PUBLIC_FIELDS` are exempt.
SECRET_TABLES = frozenset({"keys", "operators"})
PUBLIC_FIELDS = frozenset({("holder",), ("owner",)})
# Start of the paths that the daemon answers itself.
RESERVED_PREFIX = "/.cardamomquay"


def check_address(address: str) -> str:
    """Check an ``ip:port`` address.

    Parameters
    ----------
    address : str

    Returns
    -------
    str
        The same address.

    Raises
    ------
    ValueError
        If it is not an IP address with a port of 1 to 65535.
    """
    host, separator, port = address.rpartition(":")
    if (
        not separator
        or not PORT_PATTERN.fullmatch(port)
        or not 0 < int(port) <= PORT_MAX
    ):
        raise ValueError("ip:port with a port of 1 to 65535")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError("ip:port with an IPv4 or bracketed IPv6 number") from None
    if bracketed is not (ip.version == IPV6_VERSION):
        raise ValueError("ip:port with brackets around an IPv6 number only")
    return address


def _check_prefix(prefix: str) -> str:
    segments = prefix.split("/")[1:]
    if not prefix.startswith("/") or any(s in {".", ".."} for s in segments):
        raise ValueError("a prefix starts with / and has no . or .. segment")
    if "//" in prefix or "%" in prefix:
        raise ValueError("a prefix has no empty segment and no percent sign")
    if prefix.startswith(RESERVED_PREFIX):
        raise ValueError(f"{RESERVED_PREFIX} is reserved")
    return prefix


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,63}$")]
Address = Annotated[str, AfterValidator(check_address)]
Prefix = Annotated[str, AfterValidator(_check_prefix)]
Hex = Annotated[str, Field(pattern=r"^([0-9a-f]{2})+$")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class _RowModel(BaseModel):
    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class UpstreamModel(_RowModel):
    """Model of an upstream in a row of `pools`."""

    name: Name
    address: Address
    region: Name
    availability_zone: Name
    slots: int = Field(ge=1, le=1000)
    connections: int = Field(ge=1, le=100_000)
    draining: bool = False


class PoolModel(_RowModel):
    """Model of a row of `pools`."""

    owner: Name
    upstreams: list[UpstreamModel] = Field(min_length=1)


class MoveModel(_RowModel):
    """Model of a requested move in a row of `routes`."""

    move_id: Name
    to_pool: Name
    finish_within_s: float = Field(ge=1, le=86_400)
    cap_percent: float = Field(default=5.0, gt=0, le=100)
    step_cap_percent: float = Field(default=25.0, gt=0, le=100)


class RouteModel(_RowModel):
    """Model of a row of `routes`."""

    owner: Name
    prefix: Prefix
    pool: Name
    methods: list[Method] = Field(default=["GET"], min_length=1)
    open_to_all: bool = False
    organisations: list[Name] = []
    repeatable: bool = True
    timeout_s: float = Field(default=5.0, gt=0, le=3600)
    move: MoveModel | None = None


class OrganisationModel(_RowModel):
    """Model of a row of `organisations`."""

    owner: Name
    rate_per_s: float = Field(gt=0, le=1e6)
    burst: int = Field(ge=1, le=1_000_000)


class StoredKeyModel(_RowModel):
    """Model of a row of `keys` or `operators`."""

    holder: Name
    owner: Name
    salt: Hex
    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class RegionModel(_RowModel):
    """Model of a row of `regions`."""

    owner: Name
    capacity_per_s: float = Field(gt=0)


class LinkModel(_RowModel):
    """Model of a row of `links`."""

    owner: Name
    from_region: Name
    to_region: Name
    cap_bytes_per_s: float = Field(gt=0)


class HostModel(_RowModel):
    """Model of a row of `hosts`."""

    owner: Name
    region: Name
    draining: bool = False


ROW_MODELS: dict[str, type[_RowModel]] = {
    "routes": RouteModel,
    "pools": PoolModel,
    "organisations": OrganisationModel,
    "keys": StoredKeyModel,
    "operators": StoredKeyModel,
    "regions": RegionModel,
    "links": LinkModel,
    "hosts": HostModel,
}


def parse_row(
    key: RowKey, value: Mapping[str, Any], findings: list[Finding]
) -> Any | None:
    """Validate a row and convert it to its dataclass.

    Parameters
    ----------
    key : RowKey
    value : mapping
    findings : list of Finding
        List to which the validation errors of the row are appended.

    Returns
    -------
    dataclass or None
        None if the row is invalid.
    """
    try:
        model = ROW_MODELS[key.table].model_validate(dict(value))
    except ValidationError as exc:
        findings.extend(_to_findings(key, exc))
        return None
    return _to_dataclass(key.key, model)


def _to_findings(key: RowKey, exc: ValidationError) -> list[Finding]:
    may_hold_secret = key.table in SECRET_TABLES
    return [
        Finding(
            source=str(key),
            path=".".join(str(part) for part in error["loc"]),
            found=found_text(
                error, hide=may_hold_secret and error["loc"] not in PUBLIC_FIELDS
            ),
            expected=expected_text(error),
        )
        for error in exc.errors()
    ]


def _to_dataclass(name: str, model: _RowModel) -> Any:
    values = model.model_dump()
    match model:
        case RouteModel():
            move = values.pop("move")
            values["methods"] = tuple(values["methods"])
            values["organisations"] = tuple(values["organisations"])
            plan = MovePlan(**move) if move is not None else None
            return Route(name=name, move=plan, **values)
        case PoolModel():
            upstreams = tuple(Upstream(**u) for u in values["upstreams"])
            return Pool(name=name, owner=model.owner, upstreams=upstreams)
        case OrganisationModel():
            return Organisation(name=name, **values)
        case StoredKeyModel():
            return StoredKey(key_id=name, **values)
        case RegionModel():
            return RegionCapacity(name=name, **values)
        case HostModel():
            return HostConfig(name=name, **values)
        case _:
            return Link(name=name, **values)

"""Validated models of configuration rows."""

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

from cardamomquay.config._expected import expected_text
from cardamomquay.config._expected import found_text
from cardamomquay.config._model import HostWish
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

PORT = re.compile(r"[0-9]{1,5}")
PORT_MAX = 65535
IPV6 = 6
# A secret that stands in a wrong field of these tables is not repeated in findings,
# which are shown and logged.
SECRET_TABLES = frozenset({"keys", "operators"})
SHOWN_FIELDS = frozenset({("holder",), ("owner",)})
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
        If it is not an IP number and a port of 1 to 65535.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not PORT.fullmatch(port) or not 0 < int(port) <= PORT_MAX:
        raise ValueError("ip:port with a port of 1 to 65535")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError("ip:port with an IPv4 or bracketed IPv6 number") from None
    if bracketed is not (number.version == IPV6):
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


class _Border(BaseModel):
    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class UpstreamModel(_Border):
    """Border model of an upstream."""

    name: Name
    address: Address
    region: Name
    availability_zone: Name
    slots: int = Field(ge=1, le=1000)
    connections: int = Field(ge=1, le=100_000)
    draining: bool = False


class PoolModel(_Border):
    """Border model of a row of `pools`."""

    owner: Name
    upstreams: list[UpstreamModel] = Field(min_length=1)


class MoveModel(_Border):
    """Border model of a wanted version move."""

    move_id: Name
    to_pool: Name
    finish_within_s: float = Field(ge=1, le=86_400)
    cap_percent: float = Field(default=5.0, gt=0, le=100)
    step_cap_percent: float = Field(default=25.0, gt=0, le=100)


class RouteModel(_Border):
    """Border model of a row of `routes`."""

    owner: Name
    prefix: Prefix
    pool: Name
    methods: list[Method] = Field(default=["GET"], min_length=1)
    open_to_all: bool = False
    organisations: list[Name] = []
    repeatable: bool = True
    timeout_s: float = Field(default=5.0, gt=0, le=3600)
    move: MoveModel | None = None


class OrganisationModel(_Border):
    """Border model of a row of `organisations`."""

    owner: Name
    rate_per_s: float = Field(gt=0, le=1e6)
    burst: int = Field(ge=1, le=1_000_000)


class StoredKeyModel(_Border):
    """Border model of a row of `keys` or `operators`."""

    holder: Name
    owner: Name
    salt: Hex
    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class RegionModel(_Border):
    """Border model of a row of `regions`."""

    owner: Name
    capacity_per_s: float = Field(gt=0)


class LinkModel(_Border):
    """Border model of a row of `links`."""

    owner: Name
    from_region: Name
    to_region: Name
    cap_bytes_per_s: float = Field(gt=0)


class HostModel(_Border):
    """Border model of a row of `hosts`."""

    owner: Name
    region: Name
    draining: bool = False


MODELS: dict[str, type[_Border]] = {
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
    """Turn a row into its dataclass.

    Parameters
    ----------
    key : RowKey
    value : mapping
    findings : list of Finding
        Receives what is wrong with the row.

    Returns
    -------
    dataclass or None
        None if there were findings.
    """
    try:
        model = MODELS[key.table].model_validate(dict(value))
    except ValidationError as exc:
        findings.extend(_findings_of(key, exc))
        return None
    return _to_dataclass(key.key, model)


def _findings_of(key: RowKey, exc: ValidationError) -> list[Finding]:
    secret = key.table in SECRET_TABLES
    return [
        Finding(
            source=str(key),
            path=".".join(str(part) for part in error["loc"]),
            found=found_text(error, hide=secret and error["loc"] not in SHOWN_FIELDS),
            expected=expected_text(error),
        )
        for error in exc.errors()
    ]


def _to_dataclass(name: str, model: _Border) -> Any:
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
            return HostWish(name=name, **values)
        case _:
            return Link(name=name, **values)

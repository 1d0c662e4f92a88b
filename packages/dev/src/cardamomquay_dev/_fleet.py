"""Plans and configuration of both owners' fleets, scaled down to one machine."""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import digest_secret
from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from pathlib import Path

    from cardamomquay.platform import TableService

LOOPBACK_ADDRESS = "127.0.0.1"
STORE_REGION = "mtl"
# The two owners.
PARTENAIRES = "partenaires"
KURVEHAENG = "kurvehaeng"
REGIONS = {
    PARTENAIRES: ("mtl", "qc", "sag"),
    KURVEHAENG: ("jylland", "fyn", "sjaelland"),
}
# Requests per second that each region can run.
REGION_CAPACITY_PER_S = 80.0
# The owners' links carry 4 Gbit/s and 280 Mbit/s. Here both are divided by 1000, as the
# load is.
LINK_CAPS_BYTES_PER_S = {PARTENAIRES: 500_000.0, KURVEHAENG: 35_000.0}


@dataclass(frozen=True, slots=True)
class Service:
    """A pool and the route to it.

    `upstreams` is the number of the pool's upstreams. `slots` and `connections` are the
    limits of each upstream, and `mean_s` is its mean service time.
    """

    owner: str
    pool: str
    prefix: str
    upstreams: int
    slots: int
    connections: int
    repeatable: bool
    mean_s: float


SERVICES = (
    Service(PARTENAIRES, "browse", "/browse", 12, 4, 330, True, 0.004),
    Service(PARTENAIRES, "confirm", "/confirm", 12, 3, 330, False, 0.006),
    Service(PARTENAIRES, "schedule", "/schedule", 12, 3, 330, True, 0.015),
    Service(KURVEHAENG, "lookup", "/lookup", 16, 3, 390, True, 0.004),
    Service(KURVEHAENG, "pledges", "/pledges", 12, 3, 390, False, 0.006),
    Service(KURVEHAENG, "reconciliation", "/reconciliation", 16, 3, 390, True, 0.025),
)

# Pools that the moves of the demo lead to: a version that works, and one that fails
# half of its requests from the start.
NEW_VERSIONS = (
    Service(PARTENAIRES, "browse-v2", "/browse", 12, 4, 330, True, 0.004),
    Service(KURVEHAENG, "lookup-v2", "/lookup", 16, 3, 390, True, 0.004),
)
BAD_VERSION = "lookup-v2"
BAD_ERROR_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class OrganisationPlan:
    """An organisation with its rate limit and the load that its callers offer."""

    owner: str
    name: str
    rate_per_s: float
    burst: int
    offered_per_s: float


ORGANISATIONS = (
    OrganisationPlan(PARTENAIRES, "salsa-mtl", 30.0, 30, 15.0),
    OrganisationPlan(PARTENAIRES, "tango-qc", 30.0, 30, 15.0),
    OrganisationPlan(PARTENAIRES, "swing-sag", 20.0, 24, 8.0),
    OrganisationPlan(PARTENAIRES, "studio-owners", 10.0, 24, 30.0),
    OrganisationPlan(KURVEHAENG, "nursery-nord", 30.0, 30, 15.0),
    OrganisationPlan(KURVEHAENG, "nursery-syd", 30.0, 30, 15.0),
    OrganisationPlan(KURVEHAENG, "council-odense", 20.0, 24, 8.0),
    OrganisationPlan(KURVEHAENG, "garden-firm", 10.0, 24, 30.0),
)


@dataclass(frozen=True, slots=True)
class HostPlan:
    """Settings of one daemon."""

    host: str
    region: str
    availability_zone: str
    listen: str
    operator_listen: str
    peer_listen: str


@dataclass(frozen=True)
class Fleet:
    """The daemons and stand-ins of a run, with their addresses and keys.

    Parameters
    ----------
    directory : Path
        Holds settings, plans and logs.
    base_port : int
        First of about 200 ports.
    hosts : tuple of HostPlan
    platform_address, upstream_control_address : str
        ``ip:port`` of the platform's stand-in, and of the port that controls the
        upstreams' stand-in.
    caller_keys, operator_keys : dict of str
        Keys as they are sent, ``id.secret``, by organisation and by owner.
    """

    directory: Path
    base_port: int
    hosts: tuple[HostPlan, ...]
    platform_address: str = ""
    upstream_control_address: str = ""
    caller_keys: dict[str, str] = field(default_factory=dict)
    operator_keys: dict[str, str] = field(default_factory=dict)


def plan_fleet(directory: Path, base_port: int, hosts: int = 8) -> Fleet:
    """Plan a fleet of daemons spread over the regions of both owners.

    Parameters
    ----------
    directory : Path
    base_port : int
        First of about 200 ports.
    hosts : int, default=8

    Returns
    -------
    Fleet
    """
    # Two hosts of the store's region confirm an outage of the store, so that region is
    # the first to get a second daemon.
    regions = ["mtl", "jylland", "qc", "fyn", "sag", "sjaelland", "mtl", "jylland"]
    plans = []
    for number in range(hosts):
        region = regions[number % len(regions)]
        port = base_port + 10 + 3 * number
        plans.append(
            HostPlan(
                host=f"host-{number}",
                region=region,
                availability_zone=f"{region}-{'ab'[(number // 6) % 2]}",
                listen=f"{LOOPBACK_ADDRESS}:{port}",
                operator_listen=f"{LOOPBACK_ADDRESS}:{port + 1}",
                peer_listen=f"{LOOPBACK_ADDRESS}:{port + 2}",
            )
        )
    rng = random.Random(base_port)
    names = [organisation.name for organisation in ORGANISATIONS]
    return Fleet(
        directory=directory,
        base_port=base_port,
        hosts=tuple(plans),
        platform_address=f"{LOOPBACK_ADDRESS}:{base_port}",
        upstream_control_address=f"{LOOPBACK_ADDRESS}:{base_port + 1}",
        caller_keys={
            name: f"key-{name}.canary-{rng.randbytes(12).hex()}" for name in names
        },
        operator_keys={
            owner: f"op-{owner}.canary-{rng.randbytes(12).hex()}" for owner in REGIONS
        },
    )


def write_settings(fleet: Fleet, plan: HostPlan, **extra: Any) -> Path:
    """Write the settings file of one daemon and return its path."""
    document = {
        "host": plan.host,
        "region": plan.region,
        "availability_zone": plan.availability_zone,
        "store_region": STORE_REGION,
        "listen": plan.listen,
        "operator_listen": plan.operator_listen,
        "peer_listen": plan.peer_listen,
        "platform": f"http://{fleet.platform_address}",
        "log_file": str(fleet.directory / f"{plan.host}.log"),
        **extra,
    }
    path = fleet.directory / f"{plan.host}.json"
    text = json.dumps(document, indent=2)
    path.write_text(f"// Settings of {plan.host}.\n{text}\n", encoding="utf-8")
    return path


def upstream_entries(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the plan file's entries for the upstreams' stand-in."""
    entries = []
    port = fleet.base_port + 60
    for service in (*SERVICES, *NEW_VERSIONS):
        for number in range(service.upstreams):
            regions = REGIONS[service.owner]
            region = regions[number % len(regions)]
            entries.append(
                {
                    "name": f"{service.pool}-{number}",
                    "pool": service.pool,
                    "address": f"{LOOPBACK_ADDRESS}:{port}",
                    "region": region,
                    "availability_zone": f"{region}-{'ab'[(number // 3) % 2]}",
                    "slots": service.slots,
                    "connections": service.connections,
                    "behaviour": {
                        "mean_s": service.mean_s,
                        "error_share": (
                            BAD_ERROR_SHARE if service.pool == BAD_VERSION else 0.0
                        ),
                    },
                }
            )
            port += 1
    return entries


def host_list_entries(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the entries of the platform's host list."""
    return [
        {
            "host": plan.host,
            "address": plan.listen,
            "peer_address": plan.peer_listen,
            "region": plan.region,
            "availability_zone": plan.availability_zone,
            "leaving": False,
        }
        for plan in fleet.hosts
    ]


def store_initial_config(fleet: Fleet, tables: TableService) -> None:
    """Commit version 1 of the configuration.

    Raises
    ------
    RuntimeError
        If the table service does not commit it.
    """
    rows = dict(_initial_rows(fleet))
    head: dict[str, Any] = {"version": 1, "edit_id": "initial", "operator": "initial"}
    writes = [Write(RowKey(*key), value) for key, value in rows.items()]
    outcome = tables.transact(
        Transaction(
            (Condition(CONFIG_HEAD_KEY, 0),), (*writes, Write(CONFIG_HEAD_KEY, head))
        )
    )
    if type(outcome).__name__ != "Committed":
        raise RuntimeError(f"initial configuration was not stored: {outcome}")


def make_key_row(presented: str, holder: str, owner: str) -> dict[str, Any]:
    """Return the stored row value for a key that is sent as ``id.secret``."""
    key_id, _, secret = presented.partition(".")
    salt = hashlib.sha256(key_id.encode()).hexdigest()[:32]
    return {
        "holder": holder,
        "owner": owner,
        "salt": salt,
        "digest": digest_secret(salt, secret),
    }


def _initial_rows(fleet: Fleet) -> list[tuple[tuple[str, str], dict[str, Any]]]:
    rows: list[tuple[tuple[str, str], dict[str, Any]]] = []
    entries = upstream_entries(fleet)
    for service in (*SERVICES, *NEW_VERSIONS):
        upstreams = [
            {
                key: entry[key]
                for key in (
                    "name",
                    "address",
                    "region",
                    "availability_zone",
                    "slots",
                    "connections",
                )
            }
            for entry in entries
            if entry["pool"] == service.pool
        ]
        rows.append(
            (
                ("pools", service.pool),
                {"owner": service.owner, "upstreams": upstreams},
            )
        )
        if service in NEW_VERSIONS:
            continue
        rows.append(
            (
                ("routes", service.pool),
                {
                    "owner": service.owner,
                    "prefix": service.prefix,
                    "pool": service.pool,
                    "methods": ["GET"] if service.repeatable else ["POST"],
                    "repeatable": service.repeatable,
                    "timeout_s": 5.0,
                },
            )
        )
    for organisation in ORGANISATIONS:
        rows.append(
            (
                ("organisations", organisation.name),
                {
                    "owner": organisation.owner,
                    "rate_per_s": organisation.rate_per_s,
                    "burst": organisation.burst,
                },
            )
        )
        presented = fleet.caller_keys[organisation.name]
        rows.append(
            (
                ("keys", presented.partition(".")[0]),
                make_key_row(presented, organisation.name, organisation.owner),
            )
        )
    for owner, presented in fleet.operator_keys.items():
        rows.append(
            (
                ("operators", presented.partition(".")[0]),
                make_key_row(presented, f"{owner}-ops", owner),
            )
        )
        for region in REGIONS[owner]:
            rows.append(
                (
                    ("regions", region),
                    {"owner": owner, "capacity_per_s": REGION_CAPACITY_PER_S},
                )
            )
        for start in REGIONS[owner]:
            for end in REGIONS[owner]:
                if start != end:
                    rows.append(
                        (
                            ("links", f"{start}-{end}"),
                            {
                                "owner": owner,
                                "from_region": start,
                                "to_region": end,
                                "cap_bytes_per_s": LINK_CAPS_BYTES_PER_S[owner],
                            },
                        )
                    )
    return rows


def link_caps() -> dict[tuple[str, str], float]:
    """Return the cap in bytes/s of each directed link between two regions."""
    return {
        (start, end): LINK_CAPS_BYTES_PER_S[owner]
        for owner, regions in REGIONS.items()
        for start in regions
        for end in regions
        if start != end
    }

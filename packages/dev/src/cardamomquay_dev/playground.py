"""Runs stand-ins and a few daemons until it is interrupted."""

from __future__ import annotations

import signal
import tempfile
import threading
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app
from absl import flags

from cardamomquay_dev._fleet import PARTENAIRES
from cardamomquay_dev._fleet import Fleet
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._processes import running_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

BASE_PORT = flags.DEFINE_integer(
    "base_port", 26000, "First of about 200 ports.", lower_bound=1024, upper_bound=65000
)
HOSTS = flags.DEFINE_integer(
    "hosts", 4, "Number of daemons.", lower_bound=1, upper_bound=8
)
DIRECTORY = flags.DEFINE_string(
    "directory", None, "Directory for settings, logs and keys; a new one by default."
)
# Time for which a stopping daemon keeps its ports open; the default is 6 s.
STOP_WAIT_S = 1.0


def write_environment(fleet: Fleet) -> Path:
    """Write addresses and keys as shell variables to a file and return its path."""
    servers = ",".join(f"http://{plan.operator_listen}" for plan in fleet.hosts)
    lines = [f"export CARDAMOMQUAY_SERVER={servers}"]
    for owner, key in fleet.operator_keys.items():
        lines.append(f"export {owner.upper()}_KEY={key}")
    lines.append(f"export CARDAMOMQUAY_KEY={fleet.operator_keys[PARTENAIRES]}")
    lines.append(f"export SALSA_KEY={fleet.caller_keys['salsa-mtl']}")
    lines += [
        f"export HOST_{number}=http://{plan.listen}"
        for number, plan in enumerate(fleet.hosts)
    ]
    lines.append(f"export PLATFORM=http://{fleet.platform_address}")
    path = fleet.directory / "environment"
    path.touch(mode=0o600)
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


@contextmanager
def running_playground(fleet: Fleet) -> Iterator[Path]:
    """Run a fleet within a ``with`` block and yield its file of shell variables."""
    limits = {"stop_wait_s": STOP_WAIT_S}
    with running_fleet(fleet, limits=limits):
        yield write_environment(fleet)


def describe(fleet: Fleet, environment: Path) -> str:
    """Return the table of hosts and addresses that the playground prints."""
    lines = ["host     region   callers                   operators"]
    for plan in fleet.hosts:
        lines.append(
            f"{plan.host:<8} {plan.region:<8} http://{plan.listen:<18} "
            f"http://{plan.operator_listen}"
        )
    lines += [
        f"platform stand-in    http://{fleet.platform_address}",
        f"settings and logs    {fleet.directory}",
        f"keys and addresses   . {environment}",
    ]
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run the playground until SIGINT or SIGTERM."""
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as temporary:
        directory = Path(DIRECTORY.value or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        fleet = plan_fleet(directory, BASE_PORT.value, HOSTS.value)
        with running_playground(fleet) as environment:
            print(describe(fleet, environment))
            print("ready; end with Ctrl-C", flush=True)
            stop.wait()
    return 0


if __name__ == "__main__":
    app.run(main)

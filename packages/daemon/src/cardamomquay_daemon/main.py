"""Entry point of ``cardamomquayd``."""

from __future__ import annotations

import signal
import sys
import threading
from datetime import timedelta
from pathlib import Path

from absl import app
from absl import flags

from cardamomquay.outcomes import format_findings
from cardamomquay_daemon._certificates import EXPIRY_NOTICE
from cardamomquay_daemon._certificates import days_left
from cardamomquay_daemon._daemon import Daemon
from cardamomquay_daemon._settings import TLS_SECTIONS
from cardamomquay_daemon._settings import Settings
from cardamomquay_daemon._settings import TlsFiles
from cardamomquay_daemon._settings import load_settings
from cardamomquay_daemon._telemetry import CERTIFICATE_EXPIRES
from cardamomquay_daemon._telemetry import Telemetry
from cardamomquay_daemon._telemetry import log_to

SETTINGS = flags.DEFINE_string(
    "settings", None, "Settings file, JSON with comments.", required=True
)
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")

EXIT_BAD_SETTINGS = 2


def main(argv: list[str]) -> int:
    """Run a daemon until it is told to stop.

    Returns
    -------
    int
        Exit code: 0 after a planned stop, 2 for bad settings.
    """
    settings = load_settings(Path(SETTINGS.value))
    if isinstance(settings, tuple):
        print(format_findings(settings), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if CHECK.value:
        print(f"{SETTINGS.value}: ok")
        return 0
    log_to(settings.log_file)
    _report_expiry(settings)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    with Daemon(settings).running():
        stop.wait()
    return 0


def _report_expiry(settings: Settings) -> None:
    telemetry = Telemetry(settings.host)
    for name in TLS_SECTIONS:
        files: TlsFiles | None = getattr(settings, name)
        if files is None:
            continue
        days = days_left(files.certificate)
        if days < EXPIRY_NOTICE / timedelta(days=1):
            telemetry.log(CERTIFICATE_EXPIRES, listener=name, days_left=round(days, 1))


def run() -> None:
    """Console script."""
    app.run(main)


if __name__ == "__main__":
    run()

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
from cardamomquay_daemon._certificates import EXPIRY_NOTICE_PERIOD
from cardamomquay_daemon._certificates import days_until_expiry
from cardamomquay_daemon._daemon import Daemon
from cardamomquay_daemon._settings import TLS_SECTIONS
from cardamomquay_daemon._settings import Settings
from cardamomquay_daemon._settings import TlsFiles
from cardamomquay_daemon._settings import load_settings
from cardamomquay_daemon._telemetry import CERTIFICATE_EXPIRES
from cardamomquay_daemon._telemetry import Telemetry
from cardamomquay_daemon._telemetry import log_to

SETTINGS_FLAG = flags.DEFINE_string(
    "settings", None, "Settings file, JSON with comments.", required=True
)
CHECK_FLAG = flags.DEFINE_bool("check", False, "Check the settings and exit.")

EXIT_BAD_SETTINGS = 2


def main(argv: list[str]) -> int:
    """Run a daemon until SIGTERM or SIGINT.

    Returns
    -------
    int
        Exit code: 0 after a planned stop or a check without findings, 2 for settings
        that are not valid.
    """
    settings = load_settings(Path(SETTINGS_FLAG.value))
    if isinstance(settings, tuple):
        print(format_findings(settings), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if CHECK_FLAG.value:
        print(f"{SETTINGS_FLAG.value}: ok")
        return 0
    log_to(settings.log_file)
    _log_expiring_certificates(settings)
    stop = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stop.set())
    with Daemon(settings).running():
        stop.wait()
    return 0


def _log_expiring_certificates(settings: Settings) -> None:
    telemetry = Telemetry(settings.host)
    for name in TLS_SECTIONS:
        files: TlsFiles | None = getattr(settings, name)
        if files is None:
            continue
        days = days_until_expiry(files.certificate)
        if days < EXPIRY_NOTICE_PERIOD / timedelta(days=1):
            telemetry.log(CERTIFICATE_EXPIRES, listener=name, days_left=round(days, 1))


def run() -> None:
    """Run `main` as a console script."""
    app.run(main)


if __name__ == "__main__":
    run()

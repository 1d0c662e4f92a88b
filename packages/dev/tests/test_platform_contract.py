from __future__ import annotations

import importlib.util
import threading
import unittest
from pathlib import Path
from unittest import mock

from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay_daemon import _platform_client
from cardamomquay_daemon._platform_client import HttpTableService
from cardamomquay_daemon._platform_client import PlatformConnection
from cardamomquay_dev._http import post_json
from cardamomquay_dev.standins import platform
from cardamomquay_dev.standins._serve import make_server

PACKAGES = Path(__file__).resolve().parents[2]
CONTRACT = PACKAGES / "core" / "tests" / "table_service" / "contract.py"
THREADS = 12
# Each call without an answer lasts this long. With the default time-out, these calls
# take 6 s in all.
CALL_TIMEOUT_MS = 600
# Longer than the time-out, so that the client gives up before the stand-in answers.
UNREACHABLE_HOLD_S = 1.2


def _load_contract() -> type:
    # The core's tests are not importable when only this package's tests run.
    spec = importlib.util.spec_from_file_location("platform_contract", CONTRACT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.TableServiceContract


class HttpTableServiceTest(_load_contract(), unittest.TestCase):
    """Guards against differences of stand-in and client from `MemoryTableService`."""

    def setUp(self) -> None:
        self.enterContext(
            mock.patch.object(_platform_client, "CALL_TIMEOUT_MS", CALL_TIMEOUT_MS)
        )
        self.enterContext(
            mock.patch.object(platform, "UNREACHABLE_HOLD_S", UNREACHABLE_HOLD_S)
        )
        server = make_server("127.0.0.1:0", platform.PlatformApp(), THREADS)
        thread = threading.Thread(target=server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{server.bind_addr[1]}"
        self.tables = HttpTableService(PlatformConnection(self.url))

    def set_faults(self, **faults: object) -> None:
        self.assertEqual(post_json(f"{self.url}/control/faults", faults), {})

    def test_no_connection(self) -> None:
        """Guards against a refused connection being treated as a possible commit."""
        tables = HttpTableService(PlatformConnection("http://127.0.0.1:1"))
        write = Write(RowKey("t", "a"), {})
        result = tables.transact(Transaction((), (write,)))
        self.assertIsInstance(result, Unavailable)
        self.assertEqual((result.refused, result.may_have_committed), (True, False))


if __name__ == "__main__":
    unittest.main()

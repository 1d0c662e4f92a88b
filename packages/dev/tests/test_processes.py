from __future__ import annotations

import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from fleet_ports import reserved_ports

from cardamomquay_dev import _processes
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._processes import running_fleet


class StartTest(unittest.TestCase):
    """Guards against a failed start whose error does not name the cause."""

    def test_a_taken_port_is_named(self) -> None:
        # Another process, such as a second run of the fleet, can take a port of a
        # daemon. The error has to name the daemon that ended because of it.
        with (
            tempfile.TemporaryDirectory() as directory,
            reserved_ports() as base_port,
            mock.patch.object(_processes, "READY_TIMEOUT_S", 6.0),
        ):
            fleet = plan_fleet(Path(directory), base_port, hosts=2)
            host, _, port = fleet.hosts[1].listen.rpartition(":")
            with (
                socket.create_server((host, int(port))),
                self.assertRaises(TimeoutError) as raised,
                running_fleet(fleet),
            ):
                self.fail("the fleet started on a taken port")
        self.assertIn(fleet.hosts[1].listen, str(raised.exception))
        notes = "\n".join(raised.exception.__notes__)
        self.assertRegex(notes, f"{fleet.hosts[1].host} ended with [1-9]")

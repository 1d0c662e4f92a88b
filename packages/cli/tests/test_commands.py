from __future__ import annotations

import socket
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from operator_port_fixture import HOST
from operator_port_fixture import OperatorPortTestCase

from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay_cli import _editing
from cardamomquay_cli._client import Answer
from cardamomquay_cli._client import OperatorClient
from cardamomquay_cli._commands import COMMANDS
from cardamomquay_cli._results import EXIT_MEANINGS
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli.main import command_help
from cardamomquay_cli.main import usage


class EditTest(OperatorPortTestCase):
    """Guards against edits with other effects than the operator intended."""

    def test_patch_keeps_other_fields(self) -> None:
        code, document = self.cli("patch", "routes", "browse", "timeout_s=4")
        self.assertEqual((code, document["version"]), (0, 2))
        _, row = self.cli("show", "routes", "browse")
        self.assertEqual(row["timeout_s"], 4)
        self.assertEqual(row["prefix"], "/browse")
        self.cli("patch", "routes", "browse", "timeout_s")
        self.assertNotIn("timeout_s", self.cli("show", "routes", "browse")[1])

    def test_apply_changes_rows_together(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "edit.json"
            path.write_text(
                '{"routes": {"browse": null}, "pools": {"browse": null}}',
                encoding="utf-8",
            )
            self.assertEqual(self.cli("apply", str(path))[0], 0)
            path.write_text('{"routes": {"x": null, "x": null}}', encoding="utf-8")
            # A JSON parser by default keeps only the second of two equal names.
            self.assertEqual(self.cli("apply", str(path))[0], ExitCode.USAGE)
        _, document = self.cli("show")
        self.assertNotIn("browse", document["tables"]["routes"])
        self.assertNotIn("browse", document["tables"]["pools"])

    def test_other_owner_sees_but_may_not_edit(self) -> None:
        self.cli("patch", "routes", "browse", "timeout_s=4")
        _, row = self.cli("show", "routes", "browse", owner="b")
        self.assertEqual(row["timeout_s"], 4)
        _, history = self.cli("history", "routes/browse", owner="b")
        self.assertEqual(history["edits"][0]["operator"], "a-ops")
        self.assertEqual(history["edits"][0]["changes"][0]["new"]["timeout_s"], 4)
        code, document = self.cli("patch", "routes", "browse", "pool=x", owner="b")
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertEqual(
            document["findings"][0],
            {
                "source": "routes/browse",
                "path": "owner",
                "found": "'a'",
                "expected": "'b'",
            },
        )

    def test_edit_based_on_an_old_version_conflicts(self) -> None:
        real_fetch_config = _editing.fetch_config

        def fetch_before_another_edit(client: object) -> object:
            config = real_fetch_config(client)  # type: ignore[arg-type]
            with mock.patch("cardamomquay_cli._tables.fetch_config", real_fetch_config):
                self.cli("patch", "organisations", "salsa", "burst=11")
            return config

        with mock.patch(
            "cardamomquay_cli._tables.fetch_config", fetch_before_another_edit
        ):
            code, document = self.cli("patch", "routes", "browse", "timeout_s=4")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertEqual(document["conflict"]["operator"], "a-ops")

    def test_withdrawn_operator_on_a_daemon_with_old_configuration(self) -> None:
        # The head row does not change, so the daemon keeps the operator's old key.
        key = RowKey("operators", "op-a")
        self.tables.transact(Transaction((), (Write(key, None),)))
        code, document = self.cli("patch", "routes", "browse", "timeout_s=4")
        self.assertEqual(code, ExitCode.REJECTED)
        self.assertEqual(document["findings"][0]["source"], "operators/op-a")

    def test_repeated_edit_is_accepted_once(self) -> None:
        arguments = ("patch", "routes", "browse", "timeout_s=4", "--edit_id=e-1")
        first = self.cli(*arguments)
        self.cli("patch", "routes", "browse", "timeout_s=3")
        again = self.cli(*arguments)
        self.assertEqual((first[0], again[0]), (0, 0))
        self.assertEqual(again[1]["version"], first[1]["version"])
        self.assertEqual(self.cli("show", "routes", "browse")[1]["timeout_s"], 3)

    def test_edit_that_is_sent_to_a_second_daemon(self) -> None:
        # If an answer is lost, the client sends the same document to the next daemon.
        client = OperatorClient([self.url], "op-a.secret-a")
        change = {"table": "organisations", "key": "salsa", "value": None}
        document = {"edit_id": "e-1", "expected_version": 1, "changes": [change]}
        versions = []
        for timeout in (2, 3):
            answer = client.post("/v1/edits", document)
            assert isinstance(answer, Answer)
            versions.append((answer.status, answer.document["version"]))
            self.cli("patch", "routes", "browse", f"timeout_s={timeout}")
        self.assertEqual(versions, [(200, 2), (200, 2)])

    def test_lost_answer_is_settled(self) -> None:
        self.tables.faults.lose_answers = 1
        code, document = self.cli("patch", "routes", "browse", "timeout_s=4")
        self.assertEqual((code, document["version"]), (0, 2))

    def test_answer_lost_on_the_way_to_the_client(self) -> None:
        with mock.patch.object(_editing, "SETTLE_PAUSE_S", 0.01):
            code, document = self.cli(
                "patch",
                "routes",
                "browse",
                "timeout_s=4",
                server=self._answer_dropping_proxy(),
            )
        self.assertEqual((code, document["version"]), (0, 2))

    def _answer_dropping_proxy(self) -> str:
        """Start a proxy that drops the answer to each POST and return its URL."""
        host, port = self.url.removeprefix("http://").split(":")
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            while True:
                try:
                    conn, _ = listener.accept()
                except OSError:
                    return
                with conn, socket.create_connection((host, int(port))) as upstream:
                    data = conn.recv(1 << 16)
                    upstream.sendall(
                        data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
                    )
                    while chunk := upstream.recv(1 << 16):
                        if not data.startswith(b"POST"):
                            conn.sendall(chunk)

        threading.Thread(target=serve, daemon=True).start()
        return f"http://127.0.0.1:{listener.getsockname()[1]}"

    def test_settle(self) -> None:
        self.cli("patch", "routes", "browse", "timeout_s=4", "--edit_id=e-1")
        cases = {
            "accepted": (("e-1",), ExitCode.OK),
            "still possible": (("e-2", "2"), ExitCode.UNSETTLED),
            "version not given": (("e-2",), ExitCode.UNSETTLED),
            "another edit took the version": (("e-2", "1"), ExitCode.CONFLICT),
        }
        for name, (arguments, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.cli("settle", *arguments)[0], expected)


class OtherCommandsTest(OperatorPortTestCase):
    """Guards against commands that report success without having succeeded."""

    def test_keys(self) -> None:
        code, document = self.cli("grant", "k1", "salsa")
        self.assertEqual(code, 0)
        self.assertRegex(document["key"], r"^k1\.[0-9a-f]{40}$")
        stored = self.cli("show", "keys", "k1")[1]
        self.assertNotIn(document["key"].partition(".")[2], str(stored))
        self.assertEqual(self.cli("grant", "k1", "salsa")[0], ExitCode.FAILED)
        self.assertEqual(self.cli("grant", "k1", "salsa", "--replace")[0], 0)
        self.assertEqual(self.cli("grant", "k.1", "salsa")[0], ExitCode.USAGE)
        self.assertEqual(self.cli("grant", "k2", "salsa", "-")[0], ExitCode.USAGE)
        self.assertEqual(self.cli("withdraw", "k1")[0], 0)
        self.assertEqual(self.cli("withdraw", "k1")[0], ExitCode.FAILED)

    def test_drains(self) -> None:
        self.assertEqual(self.cli("drain", "browse", "u0")[0], 0)
        row = self.cli("show", "pools", "browse")[1]
        self.assertTrue(row["upstreams"][0]["draining"])
        self.assertEqual(self.cli("undrain", "browse", "u0")[0], 0)
        self.assertEqual(self.cli("drain", "browse", "u9")[0], ExitCode.FAILED)

    def test_host_drain_needs_the_owner_of_its_region(self) -> None:
        self.assertEqual(self.cli("drain-host", HOST, owner="b")[0], ExitCode.REJECTED)
        code, document = self.cli("drain-host", HOST, "--wait_s=5")
        self.assertEqual((code, document["in_force"]), (0, True))
        self.assertTrue(self.cli("status")[1]["hosts"][0]["draining"])
        self.assertEqual(self.cli("undrain-host", HOST, "--wait_s=5")[0], 0)
        self.assertFalse(self.cli("status")[1]["hosts"][0]["draining"])
        self.assertEqual(self.cli("drain-host", "no-host")[0], ExitCode.FAILED)

    def test_move(self) -> None:
        code, started = self.cli("move", "browse", "browse-2", "--cap_percent=3")
        self.assertEqual(code, 0)
        self.assertEqual(self.cli("move", "browse", "browse-2")[0], ExitCode.FAILED)
        _, document = self.cli("moves")
        self.assertEqual(document["moves"]["browse"]["state"], "planned")
        self.assertEqual(document["moves"]["browse"]["cap_percent"], 3.0)
        self.assertEqual(self.cli("finish", "browse")[0], ExitCode.FAILED)
        code, _ = self.cli("watch", "browse", "--watch_s=0")
        self.assertEqual(code, ExitCode.TIMED_OUT)
        # States that the controller stores for moves that have ended.
        for state, expected in (
            ("taken_back", ExitCode.TAKEN_BACK),
            ("completed", ExitCode.OK),
        ):
            self._store_move(started["move_id"], state)
            self.assertEqual(self.cli("watch", "browse")[0], expected)
        self.assertEqual(self.cli("finish", "browse")[0], 0)
        row = self.cli("show", "routes", "browse")[1]
        self.assertEqual((row["pool"], row.get("move")), ("browse-2", None))

    def test_take_back(self) -> None:
        self.cli("move", "browse", "browse-2")
        self.assertEqual(self.cli("take-back", "browse")[0], 0)
        self.assertNotIn("move", self.cli("show", "routes", "browse")[1])
        self.assertEqual(self.cli("take-back", "browse")[0], ExitCode.FAILED)

    def test_wait(self) -> None:
        self.assertEqual(self.cli("wait", "1", "5")[0], 0)
        code, document = self.cli("wait", "2", "0")
        self.assertEqual((code, document["behind"]), (ExitCode.TIMED_OUT, [HOST]))

    def test_unreachable_and_rejected(self) -> None:
        self.assertEqual(
            self.cli("show", server="http://127.0.0.1:9")[0], ExitCode.UNREACHABLE
        )
        self.assertEqual(self.cli("show", owner="nobody")[0], ExitCode.REJECTED)
        self.assertEqual(self.cli("no-command")[0], ExitCode.USAGE)
        self.assertEqual(self.cli("show", "--limit=3")[0], ExitCode.USAGE)
        self.tables.faults.down = True
        self.assertEqual(self.cli("show")[0], ExitCode.FAILED)

    def _store_move(self, move_id: str, state: str) -> None:
        value = {
            "route": "browse",
            "move_id": move_id,
            "from_pool": "browse",
            "to_pool": "browse-2",
            "state": state,
            "share_percent": 100.0,
            "reason": "",
            "figures": {},
        }
        key = RowKey("moves", "browse")
        self.tables.transact(Transaction((), (Write(key, value),)))


class HelpTest(unittest.TestCase):
    """Guards against commands and exit codes that the help leaves out."""

    def test_help_names_everything(self) -> None:
        text = usage()
        for command in COMMANDS.values():
            self.assertIn(f"  {command.name} ", text)
            page = command_help(command)
            for flag in command.flags:
                self.assertIn(f"--{flag}", page)
        self.assertEqual(set(EXIT_MEANINGS), set(ExitCode))


if __name__ == "__main__":
    unittest.main()

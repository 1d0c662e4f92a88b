"""Commands that start, watch, finish and take back version moves."""

from __future__ import annotations

import json
import sys
import time
import uuid
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from cardamomquay_cli._client import NoAnswer
from cardamomquay_cli._editing import EDIT_FLAGS
from cardamomquay_cli._editing import fetch_config
from cardamomquay_cli._editing import row_change
from cardamomquay_cli._editing import send_edit
from cardamomquay_cli._results import HTTP_OK
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import call_failure
from cardamomquay_cli._results import command_failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

FINISH_WITHIN_S = flags.DEFINE_float(
    "finish_within_s",
    3600.0,
    "Seconds within which a move must be completed, or else it is taken back.",
)
CAP_PERCENT = flags.DEFINE_float(
    "cap_percent",
    5.0,
    "Largest share of traffic, in percent, until the new version has proved healthy.",
)
STEP_CAP_PERCENT = flags.DEFINE_float(
    "step_cap_percent",
    25.0,
    "Largest change of the share in one step, in percentage points.",
)
MOVE_ID = flags.DEFINE_string("move_id", None, "Id of the move; a new one by default.")
WATCH_S = flags.DEFINE_float(
    "watch_s", 3600.0, "Watch for up to this many seconds.", lower_bound=0.0
)
POLL_S = 0.5
COMPLETED = "completed"
TAKEN_BACK = "taken_back"


class Move(Command):
    """Starts a version move."""

    name = "move"
    usage = "ROUTE POOL"
    summary = "Start moving a route's traffic to another pool."
    details = "The move is the field `move` of the route's row; `watch` follows it."
    flags = (
        "finish_within_s",
        "cap_percent",
        "step_cap_percent",
        "move_id",
        *EDIT_FLAGS,
    )

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 2:
            return self.usage_error()
        name, pool = arguments
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        row = config.row("routes", name)
        if row is None:
            return command_failure(f"no route {name}")
        if row.get("move") is not None:
            move_id = row["move"]["move_id"]
            return command_failure(
                f"route {name} already has move {move_id}; take it back first"
            )
        row["move"] = {
            # An id has at most 64 characters.
            "move_id": MOVE_ID.value or f"{name}-{uuid.uuid4().hex[:8]}"[-64:],
            "to_pool": pool,
            "finish_within_s": FINISH_WITHIN_S.value,
            "cap_percent": CAP_PERCENT.value,
            "step_cap_percent": STEP_CAP_PERCENT.value,
        }
        result = send_edit(client, config, [row_change("routes", name, row)])
        if result.code is not ExitCode.OK:
            return result
        document = {**result.document, "move_id": row["move"]["move_id"]}
        text = f"{result.text}\nmove {row['move']['move_id']}"
        return Result(result.code, document, text)


class TakeBack(Command):
    """Takes a version move back."""

    name = "take-back"
    usage = "ROUTE"
    summary = "Take a move back: the route's traffic returns to its own pool."
    details = "It removes the field `move` from the route's row."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _end_move(self, client, arguments, to_new_pool=False)


class Finish(Command):
    """Makes the target of a completed move the route's pool."""

    name = "finish"
    usage = "ROUTE"
    summary = "Make the new pool of a completed move the route's own pool."
    details = (
        "Until then the move can still be taken back to the old pool. The command is\n"
        "refused while the move is not completed."
    )
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _end_move(self, client, arguments, to_new_pool=True)


class Moves(Command):
    """Shows version moves."""

    name = "moves"
    usage = "[ROUTE]"
    summary = "Show version moves with state, share, reason and figures."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) > 1:
            return self.usage_error()
        moves = _fetch_moves(client)
        if isinstance(moves, Result):
            return moves
        if arguments:
            moves = {name: move for name, move in moves.items() if name in arguments}
        lines = [format_move(name, move) for name, move in sorted(moves.items())]
        return Result(ExitCode.OK, {"moves": moves}, "\n".join(lines) or "no moves")


class Watch(Command):
    """Follows a version move to its end."""

    name = "watch"
    usage = "ROUTE"
    summary = "Follow a move until it is completed or taken back."
    details = "Exit code 0 for a completed move, 8 for one that was taken back."
    flags = ("watch_s",)

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 1:
            return self.usage_error()
        route = arguments[0]
        deadline_s = time.monotonic() + WATCH_S.value
        printed = ""
        while True:
            moves = _fetch_moves(client)
            if isinstance(moves, Result):
                # A daemon that stops must not end the watch, since others may answer.
                if moves.code is ExitCode.REJECTED or time.monotonic() >= deadline_s:
                    return moves
                time.sleep(POLL_S)
                continue
            move = moves.get(route)
            if move is None:
                return command_failure(f"route {route} has no move")
            text = format_move(route, move)
            if text != printed:
                printed = text
                print(text, file=sys.stderr, flush=True)
            document = {"route": route, **move}
            if move["state"] == COMPLETED:
                return Result(ExitCode.OK, document, f"{route}: {move['state']}")
            if move["state"] == TAKEN_BACK:
                return Result(
                    ExitCode.TAKEN_BACK, document, f"{route}: {move['state']}"
                )
            if time.monotonic() >= deadline_s:
                return Result(ExitCode.TIMED_OUT, document, f"{route}: {move['state']}")
            time.sleep(POLL_S)


def _end_move(
    command: Command, client: OperatorClient, arguments: list[str], to_new_pool: bool
) -> Result:
    if len(arguments) != 1:
        return command.usage_error()
    name = arguments[0]
    moves = _fetch_moves(client) if to_new_pool else {}
    if isinstance(moves, Result):
        return moves
    config = fetch_config(client)
    if isinstance(config, Result):
        return config
    row = config.row("routes", name)
    if row is None or row.get("move") is None:
        return command_failure(f"route {name} has no move")
    requested_move = row.pop("move")
    if to_new_pool:
        move = moves.get(name, {})
        if (move.get("move_id"), move.get("state")) != (
            requested_move["move_id"],
            COMPLETED,
        ):
            return command_failure(f"move {requested_move['move_id']} is not completed")
        row["pool"] = requested_move["to_pool"]
    return send_edit(client, config, [row_change("routes", name, row)])


def _fetch_moves(client: OperatorClient) -> dict[str, dict[str, Any]] | Result:
    answer = client.get("/v1/moves")
    if isinstance(answer, NoAnswer) or answer.status != HTTP_OK:
        return call_failure(answer)
    moves: dict[str, dict[str, Any]] = answer.document["moves"]
    return moves


def format_move(route: str, move: dict[str, Any]) -> str:
    """Return a description of a move in one line."""
    text = (
        f"{route}: {move['state']}, {move.get('share_percent', 0.0):g}% to "
        f"{move['to_pool']} ({move['move_id']})"
    )
    if move.get("reason"):
        text += f"; {move['reason']}"
    if move.get("figures"):
        text += f" {json.dumps(move['figures'])}"
    return text

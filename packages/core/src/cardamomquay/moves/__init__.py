"""Version moves: gradual changes of a route's traffic from one pool to another.

The new pool runs a new version. Its share grows in steps while the version is proved
no worse than the old one; otherwise the move is taken back.
"""

from __future__ import annotations

from cardamomquay.moves._counters import BUCKET_EDGES_S
from cardamomquay.moves._counters import HostReport
from cardamomquay.moves._counters import PoolRequestCounters
from cardamomquay.moves._counters import RequestTotals
from cardamomquay.moves._counters import decode_report
from cardamomquay.moves._counters import encode_report
from cardamomquay.moves._events import HostReportReceived
from cardamomquay.moves._events import MoveChanged
from cardamomquay.moves._events import MoveControllerChanged
from cardamomquay.moves._events import MovesRead
from cardamomquay.moves._events import MovesReadFailed
from cardamomquay.moves._events import MoveStepWriteFinished
from cardamomquay.moves._events import MoveStopped
from cardamomquay.moves._events import ReadMoves
from cardamomquay.moves._events import WriteMoveStep
from cardamomquay.moves._evidence import Evidence
from cardamomquay.moves._judge import FALSE_ALARM_PROBABILITY
from cardamomquay.moves._judge import FALSE_PROOF_PROBABILITY
from cardamomquay.moves._judge import LOCAL_STOP_FALSE_ALARM_PROBABILITY
from cardamomquay.moves._judge import Judgement
from cardamomquay.moves._judge import Verdict
from cardamomquay.moves._judge import find_local_stop
from cardamomquay.moves._judge import judge
from cardamomquay.moves._reducer import MovesReducer
from cardamomquay.moves._reducer import MovesState
from cardamomquay.moves._reducer import VerdictRules
from cardamomquay.moves._reports import MOVES_EXTRA_KEY
from cardamomquay.moves._rows import Move
from cardamomquay.moves._rows import MoveState
from cardamomquay.moves._rows import move_row_key
from cardamomquay.moves._rows import parse_move
from cardamomquay.moves._steps import SOAK_S
from cardamomquay.moves._steps import STEP_MIN_S
from cardamomquay.moves._steps import TAKE_BACK_MIN_S
from cardamomquay.moves._steps import StepInputs
from cardamomquay.moves._steps import next_step
from cardamomquay.moves._view import VIEW_VALID_S
from cardamomquay.moves._view import MoveView
from cardamomquay.moves._view import RouteShare
from cardamomquay.moves._view import VersionPicker

__all__ = [
    "BUCKET_EDGES_S",
    "TAKE_BACK_MIN_S",
    "Evidence",
    "FALSE_ALARM_PROBABILITY",
    "FALSE_PROOF_PROBABILITY",
    "HostReport",
    "HostReportReceived",
    "Judgement",
    "LOCAL_STOP_FALSE_ALARM_PROBABILITY",
    "MOVES_EXTRA_KEY",
    "Move",
    "MoveChanged",
    "MoveControllerChanged",
    "MoveState",
    "MoveStepWriteFinished",
    "MoveStopped",
    "MoveView",
    "MovesRead",
    "MovesReadFailed",
    "MovesReducer",
    "MovesState",
    "PoolRequestCounters",
    "ReadMoves",
    "RequestTotals",
    "RouteShare",
    "SOAK_S",
    "STEP_MIN_S",
    "StepInputs",
    "VIEW_VALID_S",
    "Verdict",
    "VerdictRules",
    "VersionPicker",
    "WriteMoveStep",
    "decode_report",
    "encode_report",
    "find_local_stop",
    "judge",
    "move_row_key",
    "next_step",
    "parse_move",
]

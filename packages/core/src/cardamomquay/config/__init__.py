"""The configuration: row models, dataclasses, validation and edits."""

from __future__ import annotations

from cardamomquay.config._edits import CONFIG_HEAD_KEY
from cardamomquay.config._edits import ConfigEdit
from cardamomquay.config._edits import EditConflict
from cardamomquay.config._edits import EditRejected
from cardamomquay.config._edits import PlannedEdit
from cardamomquay.config._edits import RowChange
from cardamomquay.config._edits import parse_head
from cardamomquay.config._edits import plan_edit
from cardamomquay.config._finding_texts import expected_text
from cardamomquay.config._finding_texts import found_text
from cardamomquay.config._model import TABLES
from cardamomquay.config._model import Config
from cardamomquay.config._model import HostConfig
from cardamomquay.config._model import Link
from cardamomquay.config._model import MovePlan
from cardamomquay.config._model import Organisation
from cardamomquay.config._model import Pool
from cardamomquay.config._model import RegionCapacity
from cardamomquay.config._model import Route
from cardamomquay.config._model import StoredKey
from cardamomquay.config._model import Upstream
from cardamomquay.config._model import digest_secret
from cardamomquay.config._row_models import check_address
from cardamomquay.config._rows import config_rows
from cardamomquay.config._validate import parse_config
from cardamomquay.config._validate import validate_config

__all__ = [
    "CONFIG_HEAD_KEY",
    "TABLES",
    "Config",
    "ConfigEdit",
    "EditConflict",
    "EditRejected",
    "HostConfig",
    "Link",
    "MovePlan",
    "Organisation",
    "PlannedEdit",
    "Pool",
    "RegionCapacity",
    "Route",
    "RowChange",
    "StoredKey",
    "Upstream",
    "check_address",
    "config_rows",
    "digest_secret",
    "expected_text",
    "found_text",
    "parse_head",
    "parse_config",
    "plan_edit",
    "validate_config",
]

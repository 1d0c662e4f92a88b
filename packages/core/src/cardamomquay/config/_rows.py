"""Conversion of a configuration to table rows."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING

from cardamomquay.config._model import TABLES
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey

if TYPE_CHECKING:
    from cardamomquay.config._model import Config

# Dataclass fields that hold the row's key; the row's value omits them.
KEY_FIELDS = ("name", "key_id")


def config_rows(config: Config) -> tuple[Row, ...]:
    """Convert a configuration to rows that `parse_config` parses back to it.

    Parameters
    ----------
    config : Config

    Returns
    -------
    tuple of Row
        The rows, with version 0.
    """
    rows = []
    for table in TABLES:
        for key, entry in getattr(config, table).items():
            # The JSON round trip converts tuples to lists, as the row models require.
            value = json.loads(json.dumps(asdict(entry)))
            for field in KEY_FIELDS:
                value.pop(field, None)
            rows.append(Row(RowKey(table, key), 0, value))
    return tuple(rows)

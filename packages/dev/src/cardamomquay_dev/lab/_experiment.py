"""Experiments as files: JSON with comments."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Literal

import json5
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import PositiveFloat
from pydantic import PositiveInt

if TYPE_CHECKING:
    from pathlib import Path

Zone = Literal["a", "b", "c"]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneLoss(_Strict):
    """All upstreams of an availability zone are lost at a time."""

    kind: Literal["zone_loss"]
    zone: Zone
    at_s: float = Field(ge=0.0)

    @property
    def label(self) -> str:
        """Text of the mark in plots."""
        return f"zone {self.zone} lost"


class Burst(_Strict):
    """More requests come for a time; `factor` counts the usual ones, too."""

    kind: Literal["burst"]
    at_s: float = Field(ge=0.0)
    lasts_s: PositiveFloat
    factor: float = Field(gt=1.0)

    @property
    def label(self) -> str:
        """Text of the mark in plots."""
        return f"{self.factor:g} times the load"


Fault = Annotated[ZoneLoss | Burst, Field(discriminator="kind")]


class Experiment(_Strict):
    """A load, the hosts and upstreams it meets, and what goes wrong.

    Parameters
    ----------
    name : str
    seconds : float
        For which callers ask.
    requests_per_s : float
        Over all hosts.
    objects : int
        Objects of each zone's callers.
    hosts, upstreams : dict of str to int
        By availability zone.
    seeds : list of int
    faults : list of ZoneLoss and Burst
    """

    name: str
    seconds: PositiveFloat
    requests_per_s: PositiveFloat
    objects: PositiveInt
    hosts: dict[Zone, PositiveInt]
    upstreams: dict[Zone, PositiveInt]
    seeds: list[int] = Field(min_length=1)
    faults: list[Fault] = []


def load_experiment(path: Path) -> Experiment:
    """Read and check an experiment.

    Raises
    ------
    OSError
        If the file cannot be read.
    ValueError
        If it is not valid; the text names every field that is wrong.
    """
    return Experiment.model_validate(json5.loads(path.read_text(encoding="utf-8")))

"""The format of experiment files, which are JSON5."""

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


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneLoss(_StrictModel):
    """All upstreams of an availability zone are lost at `at_s`.

    They get no requests from then on, but still handle those sent to them before.
    """

    kind: Literal["zone_loss"]
    zone: Zone
    at_s: float = Field(ge=0.0)

    @property
    def label(self) -> str:
        """Label of the fault in plots."""
        return f"zone {self.zone} lost"


class Burst(_StrictModel):
    """The rate of requests is `factor` times the usual one for `lasts_s`."""

    kind: Literal["burst"]
    at_s: float = Field(ge=0.0)
    lasts_s: PositiveFloat
    factor: float = Field(gt=1.0)

    @property
    def label(self) -> str:
        """Label of the fault in plots."""
        return f"{self.factor:g} times the load"


Fault = Annotated[ZoneLoss | Burst, Field(discriminator="kind")]


class Experiment(_StrictModel):
    """Load, hosts, upstreams and faults of a simulation.

    Parameters
    ----------
    name : str
    seconds : float
        Duration in which callers send requests.
    requests_per_s : float
        Total rate over all hosts.
    objects : int
        Number of objects that the callers of each zone request.
    hosts, upstreams : dict of str to int
        Number in each availability zone.
    seeds : list of int
        The experiment is simulated once with each.
    faults : list of ZoneLoss or Burst
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
    """Read and validate an experiment.

    Raises
    ------
    OSError
        If the file cannot be read.
    ValueError
        If it is not valid; the message names every invalid field.
    """
    return Experiment.model_validate(json5.loads(path.read_text(encoding="utf-8")))

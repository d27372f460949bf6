"""Calls and upstreams of the admission trial."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.admission_gates import Beside
    from bench.admission_loads import LoadRoute


@dataclass(eq=False, slots=True)
class Upstream:
    """A gate, the speed behind it and the calls that it runs."""

    index: int
    service: str
    speed: float
    slow_share: float
    gate: Beside


@dataclass(eq=False, slots=True)
class Call:
    """A call of a client or, with a parent, of an upstream."""

    route: LoadRoute
    tenant: str
    priority: int
    began: float
    deadline: float
    parent: Call | None = None
    returns: int = 0
    attempt_began: float = 0.0
    attempt_deadline: float = 0.0
    tried: set[int] = field(default_factory=set)
    upstream: Upstream | None = None
    attempt: int = 0
    granted: float | None = None
    nested_left: int = 0
    part_seconds: float = 0.0
    is_over: bool = False

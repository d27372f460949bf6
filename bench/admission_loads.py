"""Loads of the admission trial, after the meshes of HARD-LOAD.md."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

# Calls of each route that take much longer than the others, and by how
# much; the mean of all calls remains the work of the route.
TAIL_SHARE: Final = 0.03
TAIL_FACTOR: Final = 7.0
TAIL_MEAN: Final = 1 + TAIL_SHARE * (TAIL_FACTOR - 1)


@dataclass(frozen=True, slots=True)
class Nested:
    """Calls that an upstream makes while it serves a call."""

    route: str
    count: int
    probability: float = 0.7


@dataclass(frozen=True, slots=True)
class LoadRoute:
    """One line of a mesh's table of routes."""

    name: str
    service: str
    rate: float
    work: float
    objective: float
    deadline: float
    timeout: float
    rank: int
    values: tuple[float, float]
    is_idempotent: bool = True
    nested: Nested | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """The upstreams of a service; ``speeds`` has one entry for each."""

    name: str
    speeds: tuple[float, ...]
    slow_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Mesh:
    """Services and routes, scaled down to a few upstreams."""

    services: tuple[Service, ...]
    routes: tuple[LoadRoute, ...]
    scale: float
    slots: int = 5
    queue_limit: int = 64


@dataclass(frozen=True, slots=True)
class Load:
    """A mesh and what happens between ``begin`` and ``end``.

    ``factors`` multiply the rate of a route; ``*`` stands for all. A
    hot tenant adds calls on each route: ``hot_factor`` times the
    route's rate.
    """

    name: str
    mesh: Mesh
    factors: dict[str, float] = field(default_factory=dict)
    hot_factor: float = 0.0
    seconds: float = 9.0
    begin: float = 2.0
    end: float = 6.0


ARCHIVE: Final = Mesh(
    (
        Service("frame", (0.6, 0.8, 1.0, 1.0, 1.2, 1.4, 1.6, 1.0)),
        Service("ingest", (0.6, 0.8, 1.0, 1.2, 1.4, 1.6)),
    ),
    (
        LoadRoute(
            "catalogue-browse",
            "frame",
            372,
            0.244,
            0.681,
            4.0,
            2.0,
            1,
            (1.0, 0.31),
            nested=Nested("checksum-lookup", 2),
        ),
        LoadRoute(
            "time-claim",
            "frame",
            167,
            0.322,
            0.907,
            5.0,
            2.5,
            1,
            (2.1, 0.63),
            is_idempotent=False,
        ),
        LoadRoute(
            "survey-pull",
            "ingest",
            167,
            0.611,
            3.199,
            10.0,
            5.0,
            2,
            (0.52, 0.24),
        ),
        LoadRoute(
            "plate-register",
            "ingest",
            47.9,
            0.2,
            0.565,
            3.0,
            1.5,
            0,
            (2.0, 0.24),
            is_idempotent=False,
        ),
        LoadRoute(
            "checksum-lookup",
            "ingest",
            0,
            0.061,
            0.22,
            0.6,
            0.6,
            1,
            (0.0, 0.0),
        ),
    ),
    scale=7 / 44,
)

TOURNAMENT: Final = Mesh(
    (
        Service("pareos", (0.6, 1.0, 1.0, 1.6, 1.0, 1.6), 0.15),
        Service("inscripciones", (0.7, 0.7, 1.6, 0.7, 1.6), 0.15),
        Service("mazos", (0.6, 1.0, 1.4)),
    ),
    (
        LoadRoute(
            "pairings-read",
            "pareos",
            428,
            0.178,
            0.765,
            2.869,
            1.2,
            2,
            (1.0, 0.3),
            nested=Nested("seat-check", 1),
        ),
        LoadRoute(
            "entry-register",
            "inscripciones",
            188,
            0.233,
            1.202,
            3.314,
            1.5,
            1,
            (2.0, 0.6),
            is_idempotent=False,
            nested=Nested("ruling-lookup", 2),
        ),
        LoadRoute(
            "decklist-upload",
            "mazos",
            59.9,
            0.222,
            1.375,
            5.075,
            5.075,
            1,
            (2.0, 0.6),
            is_idempotent=False,
        ),
        LoadRoute(
            "standings-read",
            "mazos",
            154,
            0.072,
            0.526,
            1.845,
            0.8,
            1,
            (2.0, 0.6),
        ),
        LoadRoute(
            "seat-check",
            "inscripciones",
            0,
            0.052,
            0.316,
            0.874,
            0.874,
            0,
            (0.0, 0.0),
        ),
        LoadRoute(
            "ruling-lookup",
            "mazos",
            0,
            0.052,
            0.316,
            0.874,
            0.874,
            0,
            (0.0, 0.0),
        ),
    ),
    scale=0.2,
)

# One upstream with one service, to see the gate alone.
SINGLE: Final = Mesh(
    (Service("ingest", (1.0,)),),
    (
        LoadRoute(
            "survey-pull",
            "ingest",
            4.2,
            0.611,
            3.199,
            10.0,
            5.0,
            2,
            (0.52, 0.24),
        ),
        LoadRoute(
            "plate-register",
            "ingest",
            2.0,
            0.2,
            0.565,
            3.0,
            1.5,
            0,
            (2.0, 0.24),
            is_idempotent=False,
        ),
        LoadRoute(
            "checksum-lookup",
            "ingest",
            10.0,
            0.061,
            0.22,
            0.6,
            0.6,
            1,
            (1.0, 0.3),
        ),
    ),
    scale=1.0,
)

LOADS: Final = (
    Load("archive quiet", ARCHIVE),
    Load("archive, browse x 2.5", ARCHIVE, {"catalogue-browse": 2.5}),
    Load("archive, survey x 2.5", ARCHIVE, {"survey-pull": 2.5}),
    Load("archive, all x 1.8", ARCHIVE, {"*": 1.8}),
    Load("archive, hot tenant", ARCHIVE, hot_factor=1.8),
    Load("tournament quiet", TOURNAMENT),
    Load("tournament, wave x 2", TOURNAMENT, {"*": 2.0}),
    Load("tournament, standings x 6", TOURNAMENT, {"standings-read": 6.0}),
    Load("tournament, hot tenant", TOURNAMENT, hot_factor=1.4),
    Load("one gate, all x 3", SINGLE, {"*": 3.0}),
)

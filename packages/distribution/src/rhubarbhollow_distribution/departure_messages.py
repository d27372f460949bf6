"""Messages between a node and its control instance on departures."""

from dataclasses import dataclass

from rhubarbhollow_distribution.departure import Departure


@dataclass(frozen=True, slots=True)
class DepartureRequest:
    """Request that departures be recorded durably.

    Without any, it requests those that were recorded for the node.
    """

    request_id: int
    departures: tuple[Departure, ...]


@dataclass(frozen=True, slots=True)
class DepartureAnswer:
    """Tell whether the request was carried out.

    If it ``is_confirmed``, the departures of the request are recorded,
    or ``departures`` are all that were recorded for the node before the
    request.
    """

    request_id: int
    is_confirmed: bool
    departures: tuple[Departure, ...]

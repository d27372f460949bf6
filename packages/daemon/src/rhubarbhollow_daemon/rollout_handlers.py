"""HTTP handlers of rollouts for operators."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Final
from urllib.parse import unquote

from result import Err, Ok, Result

from rhubarbhollow_daemon.document_outcome import DocumentVerdict
from rhubarbhollow_daemon.http_response import (
    HttpResponse,
    answer_json,
    answer_problem,
)
from rhubarbhollow_rollout.command import MAX_DURATION_MS, is_valid_text

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.rollout_orders import RolloutOrders
    from rhubarbhollow_rollout.record import RolloutRecord

MS_PER_SECOND: Final = 1000
_FIELDS: Final = frozenset(("service", "new_version", "duration_seconds"))
_STATUSES: Final = {
    DocumentVerdict.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    DocumentVerdict.CONFLICT: HTTPStatus.CONFLICT,
    DocumentVerdict.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class RolloutDocument:
    """The latest rollout of a service, as operators see it."""

    service: str
    new_version: str
    state: str
    duration_seconds: float
    share: float
    elapsed_seconds: float


class RolloutHandlers:
    """Serve orders and reads of rollouts on the admin port."""

    def __init__(self, orders: RolloutOrders) -> None:
        self._orders = orders

    def register(self, application: AdminApplication) -> None:
        """Register these handlers with the admin port."""
        application.add("POST", "/v1/rollouts", self.order)
        application.add("GET", "/v1/rollouts/(?P<service>[^/]+)", self.show)

    async def order(
        self, request: HttpRequest, _: Mapping[str, str]
    ) -> HttpResponse:
        """Begin a rollout, or answer the same order again."""
        document = request.json_object()
        if isinstance(document, Err):
            return _bad_request(document.err_value.detail)
        read = _read_order(document.ok_value)
        if isinstance(read, Err):
            return _bad_request(read.err_value)
        service, new_version, duration_ms = read.ok_value
        outcome = await self._orders.order(service, new_version, duration_ms)
        if outcome.verdict is DocumentVerdict.ACCEPTED:
            return answer_json({"outcome": "ordered", "service": service})
        return answer_problem(
            f"rollout_{outcome.verdict.name.lower()}",
            _STATUSES.get(outcome.verdict, HTTPStatus.SERVICE_UNAVAILABLE),
            outcome.detail,
        )

    async def show(
        self, _: HttpRequest, arguments: Mapping[str, str]
    ) -> HttpResponse:
        """Return the latest rollout of a service, confirmed."""
        found = await self._orders.read(unquote(arguments["service"]))
        if isinstance(found, Err):
            return answer_problem(
                "not_confirmed",
                HTTPStatus.SERVICE_UNAVAILABLE,
                found.err_value.detail,
            )
        if found.ok_value is None:
            return answer_problem(
                "no_rollout",
                HTTPStatus.NOT_FOUND,
                "no rollout of this service has been ordered",
            )
        return answer_json(asdict(_to_document(found.ok_value)))


def _to_document(record: RolloutRecord) -> RolloutDocument:
    return RolloutDocument(
        record.service,
        record.new_version,
        record.state.value,
        record.duration_ms / MS_PER_SECOND,
        record.share_permille / 1000,
        record.elapsed_ms / MS_PER_SECOND,
    )


def _read_order(
    document: Mapping[str, object],
) -> Result[tuple[str, str, int], str]:
    if document.keys() != _FIELDS:
        return Err(f"expected exactly the fields {sorted(_FIELDS)}")
    service, new_version = document["service"], document["new_version"]
    for value in (service, new_version):
        if not is_valid_text(value):
            return Err("expected texts of 1 to 255 printable characters")
    seconds = document["duration_seconds"]
    if isinstance(seconds, bool) or not isinstance(seconds, int | float):
        return Err("expected duration_seconds to be a number")
    if not math.isfinite(seconds) or not (
        1 <= seconds * MS_PER_SECOND <= MAX_DURATION_MS
    ):
        return Err("expected duration_seconds above 0 and up to a day")
    return Ok((str(service), str(new_version), round(seconds * MS_PER_SECOND)))


def _bad_request(detail: str) -> HttpResponse:
    return answer_problem("bad_request", HTTPStatus.BAD_REQUEST, detail)

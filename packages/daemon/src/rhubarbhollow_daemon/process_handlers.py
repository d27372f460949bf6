"""What a process without a node serves on its admin port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_daemon.http_response import HttpResponse, answer_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.metrics import Metrics
    from rhubarbhollow_daemon.reading import Reading


class ProcessHandlers:
    """Serve metrics and health."""

    def __init__(
        self,
        metrics: Metrics,
        read_all: Callable[[], Iterable[Reading]],
    ) -> None:
        self._metrics = metrics
        self._read_all = read_all

    def register(self, application: AdminApplication) -> None:
        """Add these handlers to the admin port."""
        application.add("GET", "/metrics", self.show_metrics)
        application.add("GET", "/healthz", self.show_health)

    async def show_metrics(
        self, _: HttpRequest, __: Mapping[str, str]
    ) -> HttpResponse:
        """Answer with all metrics."""
        return self._metrics.render(self._read_all())

    async def show_health(
        self, _: HttpRequest, __: Mapping[str, str]
    ) -> HttpResponse:
        """Answer while the process reacts at all."""
        return answer_json({"status": "ok"})

"""Admin port handlers of a process without a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhollow_daemon.http_response import HttpResponse, answer_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from rhubarbhollow_daemon.http_request import HttpRequest
    from rhubarbhollow_daemon.http_server import AdminApplication
    from rhubarbhollow_daemon.metric_sample import MetricSample
    from rhubarbhollow_daemon.metrics import Metrics


class ProcessHandlers:
    """Serve metrics and the health check."""

    def __init__(
        self,
        metrics: Metrics,
        collect_metrics: Callable[[], Iterable[MetricSample]],
    ) -> None:
        self._metrics = metrics
        self._collect_metrics = collect_metrics

    def register(self, application: AdminApplication) -> None:
        """Add the routes of these handlers to the admin port."""
        application.add("GET", "/metrics", self.show_metrics)
        application.add("GET", "/healthz", self.show_health)

    async def show_metrics(
        self, _: HttpRequest, __: Mapping[str, str]
    ) -> HttpResponse:
        """Return all metrics of this process."""
        return self._metrics.render(self._collect_metrics())

    async def show_health(
        self, _: HttpRequest, __: Mapping[str, str]
    ) -> HttpResponse:
        """Report that the process is alive."""
        return answer_json({"status": "ok"})

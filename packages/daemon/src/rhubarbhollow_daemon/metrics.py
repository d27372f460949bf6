"""Metrics in the Prometheus format, computed on each scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from rhubarbhollow_daemon.http_response import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rhubarbhollow_daemon.metric_sample import MetricSample

PREFIX: Final = "rhubarbhollow_"


class Metrics:
    """Render samples of counts that components keep as integers.

    The call path updates no metric object: it increments integers,
    which are copied here on each scrape.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        self._registry = Registry()
        self._labels: Mapping[str, str] = {
            "instance": instance,
            "data_centre": data_centre,
        }
        self._collectors: dict[str, Counter | Gauge] = {}

    def render(self, samples: Iterable[MetricSample]) -> HttpResponse:
        """Return a response with all samples in the text format."""
        for sample in samples:
            collector = self._collector(sample)
            collector.set({**self._labels, **sample.labels}, sample.value)
        body, headers = render(self._registry, ["text/plain"])
        return HttpResponse(200, body, headers["Content-Type"])

    def _collector(self, sample: MetricSample) -> Counter | Gauge:
        collector = self._collectors.get(sample.name)
        if collector is None:
            kind = Counter if sample.is_counter else Gauge
            collector = kind(
                PREFIX + sample.name,
                sample.help_text,
                registry=self._registry,
            )
            self._collectors[sample.name] = collector
        return collector

"""Metrics in the Prometheus format, computed when they are read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from rhubarbhollow_daemon.http_response import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rhubarbhollow_daemon.reading import Reading

PREFIX: Final = "rhubarbhollow_"


class Metrics:
    """Render readings that components keep as plain numbers.

    The path of a call touches no metric object: it counts in integers,
    and a scrape copies them here.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        self._registry = Registry()
        self._labels: Mapping[str, str] = {
            "instance": instance,
            "data_centre": data_centre,
        }
        self._collectors: dict[str, Counter | Gauge] = {}

    def render(self, readings: Iterable[Reading]) -> HttpResponse:
        """Return the text of all readings."""
        for reading in readings:
            collector = self._collector(reading)
            collector.set({**self._labels, **reading.labels}, reading.value)
        body, headers = render(self._registry, ["text/plain"])
        return HttpResponse(200, body, headers["Content-Type"])

    def _collector(self, reading: Reading) -> Counter | Gauge:
        collector = self._collectors.get(reading.name)
        if collector is None:
            kind = Counter if reading.is_counter else Gauge
            collector = kind(
                PREFIX + reading.name,
                reading.help_text,
                registry=self._registry,
            )
            self._collectors[reading.name] = collector
        return collector

"""Background calls that count the outcomes seen by their callers."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Self

from tools.local_mesh import call

if TYPE_CHECKING:
    from tools.local_mesh import Instance

PAUSE_SECONDS: Final = 0.01
HTTP_OK: Final = 200


@dataclass(slots=True)
class CallCounts:
    """Count the outcomes of the calls of one watch.

    ``broken`` counts calls that ended without a response.
    ``position_regressions`` counts responses of a node with a lower
    position than an earlier response of the same node.
    """

    answered: int = 0
    refused: int = 0
    broken: int = 0
    position_regressions: int = 0
    refusals: dict[str, int] = field(default_factory=dict)


class CallWatch:
    """Call through several nodes, one thread each, until stopped."""

    def __init__(self, nodes: list[Instance], path: str) -> None:
        self._path = path
        self._is_stopped = threading.Event()
        self._counts = [CallCounts() for _ in nodes]
        self._threads = [
            threading.Thread(
                target=self._run, args=(node, counts), daemon=True
            )
            for node, counts in zip(nodes, self._counts, strict=True)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> CallCounts:
        """Stop the calls and return the sums over all nodes."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()
        total = CallCounts()
        for counts in self._counts:
            total.answered += counts.answered
            total.refused += counts.refused
            total.broken += counts.broken
            total.position_regressions += counts.position_regressions
            for kind, count in counts.refusals.items():
                total.refusals[kind] = total.refusals.get(kind, 0) + count
        return total

    def _run(self, node: Instance, counts: CallCounts) -> None:
        highest = 0
        while not self._is_stopped.is_set():
            try:
                status, headers, _ = call(node, self._path)
            except OSError:
                counts.broken += 1
                continue
            if status == HTTP_OK:
                counts.answered += 1
            else:
                counts.refused += 1
                kind = headers.get("rhubarbhollow-refusal", str(status))
                counts.refusals[kind] = counts.refusals.get(kind, 0) + 1
            position = int(headers.get("rhubarbhollow-position", highest))
            if position < highest:
                counts.position_regressions += 1
            highest = max(highest, position)
            time.sleep(PAUSE_SECONDS)

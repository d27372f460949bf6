"""Calls that run in the background and note what their callers see."""

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
class Seen:
    """Count what the callers of one watch have seen.

    ``went_back`` counts answers of one node whose position was lower
    than that of an earlier answer of the same node.
    """

    answered: int = 0
    refused: int = 0
    broken: int = 0
    went_back: int = 0
    refusals: dict[str, int] = field(default_factory=dict)


class CallWatch:
    """Call through several nodes, one thread each, until stopped."""

    def __init__(self, nodes: list[Instance], path: str) -> None:
        self._path = path
        self._is_stopped = threading.Event()
        self._seen = [Seen() for _ in nodes]
        self._threads = [
            threading.Thread(target=self._run, args=(node, seen), daemon=True)
            for node, seen in zip(nodes, self._seen, strict=True)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> Seen:
        """Stop calling; return the sums over all nodes."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()
        total = Seen()
        for seen in self._seen:
            total.answered += seen.answered
            total.refused += seen.refused
            total.broken += seen.broken
            total.went_back += seen.went_back
            for kind, count in seen.refusals.items():
                total.refusals[kind] = total.refusals.get(kind, 0) + count
        return total

    def _run(self, node: Instance, seen: Seen) -> None:
        highest = 0
        while not self._is_stopped.is_set():
            try:
                status, headers, _ = call(node, self._path)
            except OSError:
                seen.broken += 1
                continue
            if status == HTTP_OK:
                seen.answered += 1
            else:
                seen.refused += 1
                kind = headers.get("rhubarbhollow-refusal", str(status))
                seen.refusals[kind] = seen.refusals.get(kind, 0) + 1
            position = int(headers.get("rhubarbhollow-position", highest))
            if position < highest:
                seen.went_back += 1
            highest = max(highest, position)
            time.sleep(PAUSE_SECONDS)

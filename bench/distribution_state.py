"""Memory and processor cost of large endpoint tables in one process."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bench.distribution_figures import Figure
from bench.fleet_manifest import service_name
from rhubarbhollow_calls.upstream_selector import UpstreamSelector
from rhubarbhollow_daemon.codec import CODEC
from rhubarbhollow_daemon.endpoint_view import EndpointView
from rhubarbhollow_distribution.endpoint_change import EndpointChange
from rhubarbhollow_distribution.endpoint_record import (
    EndpointRecord,
    EndpointState,
)
from rhubarbhollow_distribution.endpoint_store import EndpointStore
from rhubarbhollow_distribution.endpoint_table import EndpointTable
from rhubarbhollow_distribution.hello import Hello
from rhubarbhollow_distribution.node_register import NodeRegister
from rhubarbhollow_wire.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CHANGES: Final = 50
DATA_CENTRES: Final = 15
LEASE_SECONDS: Final = 60.0


def measure_state(endpoint_count: int) -> Iterator[Figure]:
    """Measure the endpoint tables of a control instance and a node."""
    clock = SystemClock()
    store = EndpointStore("control", 1, clock)
    store.merge(map(_build_record, range(endpoint_count)), "control")
    full = store.changes_since("", 0)
    encoded = CODEC.encode(full)
    yield Figure("state: full endpoint table, bytes", float(len(encoded)))
    yield Figure(
        "state: encode the full table, ms",
        _time_ms(lambda: CODEC.encode(full)),
    )
    yield Figure(
        "state: decode the full table, ms",
        _time_ms(lambda: CODEC.decode(encoded)),
    )
    yield from _measure_node(encoded, store)
    yield from _measure_register(endpoint_count)


def _measure_register(node_count: int) -> Iterator[Figure]:
    # A control instance computes this summary after each message from
    # a node.
    register = NodeRegister("control", "dc-0", SystemClock(), LEASE_SECONDS)
    for number in range(node_count):
        register.admit(
            Hello("mesh", f"node-{number}", "dc-0", 1, 1, b"", 1, "", 0)
        )
    yield Figure(
        "state: control, count the nodes once, ms",
        sum(_time_ms(register.summary) for _ in range(CHANGES)) / CHANGES,
    )


def _measure_node(encoded: bytes, store: EndpointStore) -> Iterator[Figure]:
    clock = SystemClock()
    gc.collect()
    tracemalloc.start()
    table = EndpointTable(clock)
    selector = UpstreamSelector("dc-0", clock, random.Random(1))
    view = EndpointView(selector, clock)
    view.update(table.apply(_decode(encoded)).unwrap())
    gc.collect()
    current_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Figure("state: node's endpoint tables, MB", current_bytes / 1e6)
    yield Figure("state: node, peak of a full table, MB", peak_bytes / 1e6)
    changed_bytes = 0
    decode_seconds = table_seconds = view_seconds = 0.0
    for number in range(CHANGES):
        base = store.version
        store.merge([replace(_build_record(number), sequence=2)], "control")
        store.merge(
            [
                replace(
                    _build_record(number),
                    sequence=3,
                    state=int(EndpointState.LEAVING),
                )
            ],
            "control",
        )
        data = CODEC.encode(store.changes_since(store.source, base))
        changed_bytes += len(data)
        started = time.process_time()
        change = _decode(data)
        decoded = time.process_time()
        records = table.apply(change).unwrap()
        applied = time.process_time()
        view.update(records)
        decode_seconds += decoded - started
        table_seconds += applied - decoded
        view_seconds += time.process_time() - applied
    per_change_ms = 1e3 / CHANGES
    yield Figure("state: one change, bytes", changed_bytes / CHANGES)
    yield Figure(
        "state: node, decode one change, ms", decode_seconds * per_change_ms
    )
    yield Figure(
        "state: node, apply one change, ms", table_seconds * per_change_ms
    )
    yield Figure(
        "state: node, renew the routing view, ms",
        view_seconds * per_change_ms,
    )


def _decode(data: bytes) -> EndpointChange:
    change = CODEC.decode(data).unwrap()
    assert isinstance(change, EndpointChange)
    return change


def _time_ms(function: Callable[[], object]) -> float:
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1e3


def _build_record(number: int) -> EndpointRecord:
    data_centre = f"dc-{number % DATA_CENTRES}"
    return EndpointRecord(
        name="upstream",
        service=service_name(number),
        node=f"{data_centre}-{number}",
        data_centre=data_centre,
        peer_host=f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250}",
        peer_port=7101,
        slots=9,
        state=int(EndpointState.UP),
        load_percent=-1,
        incarnation=1_764_846_000_000_000 + number,
        sequence=1,
    )

from dataclasses import replace

import pytest

from rhubarbhollow_placement.upstream_load import (
    MAX_NAME_CHARACTERS,
    RouteTime,
    UpstreamLoad,
    is_usable,
)

LOAD = UpstreamLoad("a/desk", 0, 0, 100, (RouteTime("lookup", 40),))


def test_a_load_in_range_is_usable():
    assert is_usable(LOAD)


@pytest.mark.parametrize(
    "load",
    [
        replace(LOAD, name=""),
        replace(LOAD, name="x" * (MAX_NAME_CHARACTERS + 1)),
        replace(LOAD, interactive_ms=-1),
        replace(LOAD, bulk_ms=1 << 30),
        replace(LOAD, work_percent=1 << 30),
        replace(LOAD, work_percent=-1),
        replace(LOAD, times=(RouteTime("lookup", -1),)),
        replace(LOAD, times=LOAD.times * 1_000),
    ],
)
def test_a_load_out_of_range_is_not(load):
    """Guard against numbers that other nodes could not compute with."""
    assert not is_usable(load)

"""The check of endpoint records from other processes."""

from dataclasses import replace

import pytest
from endpoint_fakes import gone, load, record

from rhubarbhollow_distribution.endpoint_change import (
    EndpointChange,
    leave_out_unusable,
)
from rhubarbhollow_distribution.endpoint_record import MAX_ORDER, is_usable


@pytest.mark.parametrize(
    "changes",
    [
        *({"peer_port": port} for port in (-1, 0, 65_536, (1 << 31) - 1)),
        *({"peer_host": host} for host in ("", "a..b", "a.", "a" * 64)),
        *({"peer_host": host} for host in ("\u00e9", "\0", "a b", "a\n")),
        *({"state": state} for state in (-1, 0, 4, 99)),
        *({"slots": slots} for slots in (-1, 0, 10_001, (1 << 31) - 1)),
        *({"load_percent": percent} for percent in (-2, 101)),
        *({"incarnation": order} for order in (-1, MAX_ORDER + 1)),
        *({"sequence": order} for order in (-1, MAX_ORDER + 1)),
        *({"name": name} for name in ("", "a b", "a\r\nb", "a" * 256)),
        *({name: "x" * 256} for name in ("service", "node", "data_centre")),
        {"version": "x" * 256},
    ],
)
def test_an_odd_record_is_left_out_of_a_change(changes):
    """A node must not meet a value that it cannot use in a call."""
    odd = replace(record("odd"), **changes)
    good = record("good")
    assert not is_usable(odd)
    change = EndpointChange("c1/1", 1, 2, (odd, good), is_full=False)
    assert leave_out_unusable(change) == replace(change, records=(good,))


@pytest.mark.parametrize(
    "usable",
    [
        record(),
        gone(record()),
        load(record(), 100),
        replace(record(), slots=10_000, peer_port=65_535),
        replace(record(), peer_host="::1", data_centre=""),
        replace(record(), peer_host="a" * 63 + ".example"),
        record(incarnation=MAX_ORDER, sequence=MAX_ORDER),
    ],
)
def test_a_usable_record_is_kept(usable):
    change = EndpointChange("c1/1", 1, 2, (usable,), is_full=True)
    assert leave_out_unusable(change) is change

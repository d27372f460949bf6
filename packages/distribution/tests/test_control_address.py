"""The check of control instances' addresses from other processes."""

import pytest

from rhubarbhollow_distribution.control_address import (
    ControlAddress,
    is_usable,
)


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        (ControlAddress("c1", "", "10.1.0.42", 7380), True),
        (ControlAddress("c1", "", "::1", 65_535), True),
        (ControlAddress("c1", "", "a" * 63 + ".example", 1), True),
        (ControlAddress("c1", "", "a" * 64, 1), False),
        (ControlAddress("c1", "", "a..b", 1), False),
        (ControlAddress("c1", "", "", 1), False),
        (ControlAddress("c1", "", "\u00e9", 1), False),
        (ControlAddress("c1", "", "10.1.0.42", 0), False),
        (ControlAddress("c1", "", "10.1.0.42", 65_536), False),
        (ControlAddress("", "", "10.1.0.42", 7380), False),
    ],
)
def test_only_addresses_that_can_be_resolved_are_usable(address, expected):
    assert is_usable(address) is expected

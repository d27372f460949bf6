import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_calls.http_fault import HttpFaultError
from rhubarbhollow_calls.http_hop import Hop, encode_hop, parse_hop

NUMBERS = st.integers(0, 10**9)
NAMES = st.from_regex(rb"[a-z0-9.:-]{0,20}", fullmatch=True)


@given(
    st.builds(
        Hop,
        NUMBERS,
        NUMBERS,
        NUMBERS,
        st.none() | NUMBERS,
        NAMES,
        NAMES,
        NAMES,
    )
)
def test_parsing_reverses_encoding(hop):
    assert parse_hop(encode_hop(hop)) == hop


@pytest.mark.parametrize(
    "value",
    [b"", b"1;2", b"x;1;1;1;r;i;o", b"1;-1;1;1;r;i;o", b"1;2;3;4;5;6;7;8"],
)
def test_malformed_hop_field_is_rejected(value):
    with pytest.raises(HttpFaultError):
        parse_hop(value)

"""The fields of a request that tell who sent it."""

import pytest

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect
from rhubarbhollow_calls.http_hop import Hop, encode_hop, parse_hop
from rhubarbhollow_calls.http_request_head import parse_request_head

FOREIGN = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    credential=b"x-key",
    tenant=b"x-tenant",
    is_foreign=True,
)


def parse(*fields, dialect=FOREIGN):
    lines = [(b"host", b"h"), *fields]
    return parse_request_head(b"GET", b"/", lines, False, True, dialect)


def test_a_mesh_without_tenants_forwards_the_fields_in_place():
    head = parse((b"a", b"1"), (b"x-key", b"k"), (b"x-tenant", b"t"))
    assert head.fields == b"host: h\r\na: 1\r\nx-key: k\r\nx-tenant: t\r\n"
    assert head.credential == b"k"


def test_a_mesh_with_tenants_forwards_neither_field():
    head = parse(
        (b"x-tenant", b"t"), (b"a", b"1"), (b"x-key", b"k"), (b"x-key", b"l")
    )
    assert head.without_guarded().fields == b"host: h\r\na: 1\r\n"


def test_a_head_without_these_fields_is_not_copied():
    head = parse((b"a", b"1"))
    assert head.without_guarded() is head


@pytest.mark.parametrize(
    ("values", "credential"),
    [([], b""), ([b""], b""), ([b"k", b"l"], b"k, l"), ([b"k", b""], b"k, ")],
)
def test_several_keys_are_no_key(values, credential):
    """Guard against a request that two readers tell apart."""
    assert parse(*((b"x-key", v) for v in values)).credential == credential


def test_a_native_key_is_never_forwarded():
    head = parse(
        (b"rhubarbhollow-credential", b"k"),
        (b"rhubarbhollow-tenant", b"t"),
        dialect=NATIVE_DIALECT,
    )
    assert head.credential == b"k"
    assert head.fields == b"host: h\r\n"
    assert head.mesh.tenant == b""


def test_no_key_is_printed():
    """Guard against keys in tracebacks and logs."""
    for dialect in (FOREIGN, NATIVE_DIALECT):
        head = parse((dialect.credential, b"sekret"), dialect=dialect)
        assert "sekret" not in repr(head)


def test_a_hop_field_without_a_tenant_keeps_its_form():
    """Guard against nodes of earlier versions that refuse it."""
    hop = Hop(1, 2, 3, None, b"r", b"i", b"o")
    assert encode_hop(hop) == b"1;2;3;;r;i;o"
    named = Hop(1, 2, 3, None, b"r", b"i", b"o", b"t", b"0123456789abcdef")
    assert encode_hop(named) == b"1;2;3;;r;i;o;t;0123456789abcdef"
    assert parse_hop(encode_hop(named)) == named

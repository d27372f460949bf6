import json

import jsonschema
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from rhubarbhollow_release import codec
from rhubarbhollow_release.codec import decode_item, encode_json
from rhubarbhollow_release.manifest_fault import FaultKind
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.schema import read_schema

NAMES = st.sampled_from(["a", "b-1", "", "A", "-a", "a" * 63, "a" * 64, "a\n"])
SCALARS = st.one_of(
    NAMES,
    st.none(),
    st.booleans(),
    st.sampled_from([0, 1, 10, 11, 600_000, 600_001, 0.0, 0.5, 1.0, 2.0, -1]),
    st.sampled_from(["*", "h.example:1", "/", "/a b", "/a?", "/é", "bulk"]),
    st.lists(NAMES, max_size=3),
    st.sampled_from([["f" * 64], ["f" * 64] * 2, ["F" * 64], ["0" * 63]]),
    st.sampled_from(
        ["a;b", " a", "a ", "S\u1ea1ch L\u1ecdc", "a\x7f", 1e9, 1e10]
    ),
    st.text(max_size=3),
)
OBJECTIVES = st.fixed_dictionaries(
    {"availability": SCALARS, "latency_ms": SCALARS, "latency_ratio": SCALARS},
)
GOOD = {
    ResourceKind.SERVICE: {
        "name": "a",
        "depends_on": ["b"],
        "fallback": None,
        "objectives": None,
    },
    ResourceKind.ROUTE: {
        "name": "a",
        "host": "*",
        "prefix": "/",
        "service": "b",
        "timeout_ms": 1,
        "retry_policy": "c",
        "priority": "bulk",
        "idempotent": False,
        "rank": 2,
        "latency_ms": 500,
        "public": True,
        "annotation": "x",
        "splits": [{"service": "b", "weight": 1.0}],
    },
    ResourceKind.NOTE: {"name": "a", "text": "b"},
    ResourceKind.RETRY_POLICY: {
        "name": "a",
        "attempts": 1,
        "budget_ratio": 0.5,
    },
    ResourceKind.TENANT: {
        "name": "a",
        "key_digests": ["0" * 64],
        "priority": 0,
        "rate": 224.5,
        "burst": 5.0,
        "title": "An Archive",
        "annotation": "x",
    },
}


@st.composite
def resources(draw):
    kind = draw(st.sampled_from(sorted(ResourceKind)))
    value = dict(GOOD[kind])
    for field in draw(st.sets(st.sampled_from(sorted(value)), max_size=2)):
        value[field] = draw(st.one_of(SCALARS, OBJECTIVES))
    return kind, value


def is_accepted_by_schema(kind, value):
    schema = read_schema()
    part = {"$defs": schema["$defs"], "$ref": f"#/$defs/{kind.value}"}
    types = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        "integer",
        lambda _, number: type(number) is int,
    )
    extend = jsonschema.validators.extend
    validator = extend(jsonschema.Draft202012Validator, type_checker=types)
    return validator(part).is_valid(value)


# Guards against field checks that drift from the published schema: an
# operator would get a release accepted that nodes reject.
@given(resources())
def test_nodes_accept_what_the_schema_accepts(resource):
    kind, value = resource
    decoded = decode_item(kind, encode_json(value))
    kinds = (
        set()
        if isinstance(decoded, Ok)
        else {fault.kind for fault in decoded.err_value.faults}
    )
    is_read = kinds <= {FaultKind.NOT_CANONICAL}
    assert is_read == is_accepted_by_schema(kind, value)


# Guards against a second accepted encoding of a resource, which would
# give one configuration several digests.
@given(resources(), st.data())
def test_refuses_any_other_spelling(resource, data):
    kind, value = resource
    body = encode_json(value)
    if not isinstance(decode_item(kind, body), Ok):
        return
    pairs = list(value.items())
    shuffled = data.draw(st.permutations(pairs))
    for other in (
        json.dumps(value, sort_keys=True).encode(),
        encode_json({**value, "extra": 1}),
        encode_json(dict(pairs[1:])),
        body + b" ",
        body[:-1],
        json.dumps(dict(shuffled), separators=(",", ":")).encode(),
    ):
        assert isinstance(decode_item(kind, other), Ok) == (other == body)


@given(
    st.sampled_from(sorted(GOOD)),
    st.dictionaries(st.sampled_from(("name", "rank", "other")), SCALARS),
    st.booleans(),
)
def test_the_fast_check_agrees_with_the_one_that_words_faults(
    kind, changed, is_short
):
    """Guard against a resource that only one of the two accepts."""
    value = {**GOOD[kind], **changed}
    if is_short:
        value.popitem()
    faults = codec._check_fields(
        value, codec._CHECKS[kind], codec._OPTIONAL_CHECKS[kind]
    )
    assert codec._are_fields_valid(value, kind) is (not faults)

import json

import pytest
import yaml
from result import Err

from rhubarbhollow_release import document as loading
from rhubarbhollow_release import parsing
from rhubarbhollow_release.canonical import canonical_bytes
from rhubarbhollow_release.manifest_fault import FaultKind as Kind
from rhubarbhollow_release.parsing import parse_manifest
from rhubarbhollow_release.priority import Priority


def faults_of(data):
    parsed = parse_manifest(data)
    assert isinstance(parsed, Err)
    return [(fault.path, fault.kind) for fault in parsed.err_value.faults]


def put(document, path, value):
    *parents, last = (int(p) if p.isdigit() else p for p in path.split("/"))
    for part in parents:
        document = document[part]
    if value is DELETE:
        del document[last]
    else:
        document[last] = value


DELETE = object()
NAME_64 = "a" * 64
CYCLE = [
    {"name": "a", "depends_on": ["b"], "fallback": "c"},
    {"name": "b", "depends_on": ["c"], "fallback": "b"},
    {"name": "c", "depends_on": ["a"], "fallback": "a"},
    {"name": "d", "depends_on": ["d"]},
]


def test_parses_json_yaml_and_the_canonical_form(document):
    parsed = parse_manifest(json.dumps(document).encode()).unwrap()
    assert [route.name for route in parsed.routes] == ["histories", "lookup"]
    assert parsed.routes[0].priority is Priority.BULK
    assert not parsed.routes[0].is_idempotent
    assert parsed.services[1].depends_on == ("bench",)
    for other in (
        yaml.safe_dump(document).encode(),
        canonical_bytes(parsed),
    ):
        assert parse_manifest(other).unwrap() == parsed


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("format", 2, [("/format", Kind.BAD_VALUE)]),
        ("format", 1.0, [("/format", Kind.WRONG_TYPE)]),
        ("mesh", "Lab", [("/mesh", Kind.BAD_VALUE)]),
        ("mesh", "lab\n", [("/mesh", Kind.BAD_VALUE)]),
        ("mesh", NAME_64, [("/mesh", Kind.BAD_VALUE)]),
        ("version", 0, [("/version", Kind.OUT_OF_RANGE)]),
        ("version", True, [("/version", Kind.WRONG_TYPE)]),
        ("version", 7.0, [("/version", Kind.WRONG_TYPE)]),
        ("version", 1 << 53, [("/version", Kind.OUT_OF_RANGE)]),
        ("version", DELETE, [("/version", Kind.MISSING_FIELD)]),
        ("services", {}, [("/services", Kind.WRONG_TYPE)]),
        ("a~/b", 1, [("/a~0~1b", Kind.UNKNOWN_FIELD)]),
        ("routes/0", 4, [("/routes/0", Kind.WRONG_TYPE)]),
        ("routes/0/host", "A", [("/routes/0/host", Kind.BAD_VALUE)]),
        ("routes/0/prefix", "x", [("/routes/0/prefix", Kind.BAD_VALUE)]),
        ("routes/0/prefix", "/?", [("/routes/0/prefix", Kind.BAD_VALUE)]),
        (
            "routes/0/prefix",
            "/" * 1025,
            [("/routes/0/prefix", Kind.OUT_OF_RANGE)],
        ),
        (
            "routes/0/timeout_ms",
            "1",
            [("/routes/0/timeout_ms", Kind.WRONG_TYPE)],
        ),
        (
            "routes/1/priority",
            "batch",
            [("/routes/1/priority", Kind.BAD_VALUE)],
        ),
        (
            "routes/1/idempotent",
            "yes",
            [("/routes/1/idempotent", Kind.WRONG_TYPE)],
        ),
        (
            "routes/1/service",
            "none",
            [("/routes/1/service", Kind.MISSING_REFERENCE)],
        ),
        (
            "routes/0/retry_policy",
            "none",
            [("/routes/0/retry_policy", Kind.MISSING_REFERENCE)],
        ),
        ("routes/0/name", "histories", [
            ("/routes/0/name", Kind.DUPLICATE_NAME),
            ("/routes/1/name", Kind.DUPLICATE_NAME),
        ]),
        (
            "services/0/fallback",
            "none",
            [("/services/0/fallback", Kind.MISSING_REFERENCE)],
        ),
        (
            "services/0/depends_on",
            ["bench", "bench"],
            [("/services/0/depends_on", Kind.BAD_VALUE)],
        ),
        (
            "services/0/depends_on",
            ["none", "bench"],
            [("/services/0/depends_on", Kind.MISSING_REFERENCE)],
        ),
        (
            "services/2/objectives/latency_ms",
            None,
            [("/services/2/objectives", Kind.MISSING_FIELD)],
        ),
        (
            "services/2/objectives/availability",
            1,
            [("/services/2/objectives/availability", Kind.OUT_OF_RANGE)],
        ),
        (
            "retry_policies/0/attempts",
            11,
            [("/retry_policies/0/attempts", Kind.OUT_OF_RANGE)],
        ),
        ("services", CYCLE, [
            ("/routes/0/service", Kind.MISSING_REFERENCE),
            ("/routes/1/service", Kind.MISSING_REFERENCE),
            ("/services/0/depends_on", Kind.CYCLE),
            ("/services/3/depends_on", Kind.CYCLE),
            ("/services/0/fallback", Kind.CYCLE),
            ("/services/1/fallback", Kind.CYCLE),
        ]),
    ],
)  # fmt: skip
def test_lists_faults_by_path(document, path, value, expected):
    if "~" in path:
        document[path] = value
    else:
        put(document, path, value)
    assert faults_of(json.dumps(document).encode()) == expected


def test_lists_schema_and_reference_faults_together(document):
    put(document, "routes/0/prefix", "/histories")
    put(document, "routes/0/host", "lab.example:8080")
    put(document, "services/1/extra", 1)
    put(document, "routes/1/service", "none")
    del document["services"][2]["objectives"]["availability"]
    assert faults_of(json.dumps(document).encode()) == [
        ("/services/1/extra", Kind.UNKNOWN_FIELD),
        ("/services/2/objectives/availability", Kind.MISSING_FIELD),
        ("/routes/1/service", Kind.MISSING_REFERENCE),
        ("/routes/1", Kind.DUPLICATE_MATCH),
    ]


def test_details_list_the_whole_cycle(document):
    document["services"] = CYCLE
    document["routes"] = []
    faults = parse_manifest(json.dumps(document).encode()).err_value.faults
    assert [fault.detail for fault in faults] == [
        "a -> b -> c -> a",
        "d -> d",
        "a -> c -> a",
        "b -> b",
    ]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", [("", Kind.WRONG_TYPE)]),
        (b"[]", [("", Kind.WRONG_TYPE)]),
        (b"\xff", [("", Kind.SYNTAX)]),
        (b"{", [("", Kind.SYNTAX)]),
        (b"{} {}", [("", Kind.SYNTAX)]),
        (b"a: [", [("", Kind.SYNTAX)]),
        (b"a: 1\n---\nb: 2", [("", Kind.SYNTAX)]),
        (b'{"mesh": "\\ud800"}', None),
        (b'{"version": ' + b"9" * 5000 + b"}", [("", Kind.SYNTAX)]),
        (b"a: &x 1\nb: *x", [("/a", Kind.ALIAS), ("/b", Kind.ALIAS)]),
        (b"a: !!str 1", [("/a", Kind.TAG)]),
        (b"a: !!python/object:os.system {}", [("/a", Kind.TAG)]),
        (b"? [a]\n: 1", [("", Kind.WRONG_TYPE)]),
        (b"a: 1\nb: {c: 1, c: 2}\na: 2", [
            ("/b/c", Kind.DUPLICATE_KEY), ("/a", Kind.DUPLICATE_KEY),
        ]),
        (b'{"a":1,"b":[{"c":1,"c":2}],"a":2}', [
            ("/a", Kind.DUPLICATE_KEY), ("/b/0/c", Kind.DUPLICATE_KEY),
        ]),
        (b"[" * 9 + b"]" * 9, [("/0" * 8, Kind.TOO_DEEP)]),
        (b"[" * 100_000, None),
        (b'{"a":' * 9 + b"1" + b"}" * 9, [("/a" * 8, Kind.TOO_DEEP)]),
        (b'{"a":' * 100_000, None),
        (b"[" + b"a," * 200_001 + b"]", [("", Kind.TOO_LARGE)]),
        (b'{"a":[' + b"1," * 200_001 + b"1]}", [("", Kind.TOO_LARGE)]),
        (b" " * ((4 << 20) + 1), [("", Kind.TOO_LARGE)]),
    ],
    ids=lambda value: repr(value)[:30],
)  # fmt: skip
def test_rejects_malformed_and_oversized_documents(data, expected):
    faults = faults_of(data)
    assert expected is None or faults == expected


SERVICES = [{"name": f"s{index}"} for index in range(1500)]


@pytest.mark.parametrize(
    "data",
    [
        json.dumps({"routes": [1] * 5000}),
        "{" + "".join(f'"a{i}":1,"a{i}":1,' for i in range(1500)) + '"b":1}',
        "".join(f"a{i}: &x{i} 1\n" for i in range(1500)),
        json.dumps(
            {
                "format": 1,
                "mesh": "lab",
                "version": 1,
                "services": SERVICES * 2,
                "routes": [],
            },
        ),
    ],
    ids=lambda data: data[:20],
)
def test_limits_the_list_of_faults(data):
    faults = faults_of(data.encode())
    assert len(faults) == 1001
    assert faults[-1] == ("", Kind.TRUNCATED)


def test_rejects_a_manifest_whose_canonical_form_is_too_large(
    document, monkeypatch
):
    """Guard against manifests that cannot be submitted again.

    Operators fetch the canonical form, which is longer than a document
    that omits optional fields, and submit it.
    """
    data = yaml.safe_dump(document).encode()
    monkeypatch.setattr(parsing, "SMALL_DOCUMENT_BYTES", 0)
    canonical = canonical_bytes(parse_manifest(data).unwrap())
    assert len(canonical) > len(data)
    monkeypatch.setattr(loading, "MAX_DOCUMENT_BYTES", len(canonical) - 1)
    assert faults_of(data) == [("", Kind.TOO_LARGE)]
    monkeypatch.setattr(loading, "MAX_DOCUMENT_BYTES", len(canonical))
    assert canonical_bytes(parse_manifest(data).unwrap()) == canonical


@pytest.mark.parametrize("text", ["no", "0x10", "1:30", "2020-01-01", ".nan"])
def test_resolves_yaml_scalars_by_the_core_schema(document, text):
    """Guard against the YAML 1.1 rules of the library.

    By these, ``1:30`` and ``0x10`` would be integers.
    """
    document["version"] = "VERSION"
    data = yaml.safe_dump(document).replace("VERSION", text).encode()
    assert faults_of(data) == [("/version", Kind.WRONG_TYPE)]

"""Altered heartbeats, documents and settings files."""

import copy
import json
from random import Random

import pytest
from result import Err, Ok

from rhubarbhollow_platform.configuration_format import ConfigurationFormat
from rhubarbhollow_platform.heartbeat import read_heartbeat

HEARTBEAT = {
    "Service": "desk",
    "Address": "10.0.0.9:8080",
    "Zone": "east",
    "Version": "v1",
    "Slots": 9,
    "State": "ready",
    "ColdRemainingS": 0.5,
    "Sequence": 4,
    "born": 1_800_000_000_000,
}
RULE = {
    "Name": "r-1",
    "Kind": "safe",
    "LatencyObjectiveS": 0.5,
    "Priority": 1,
    "Match": {"PathPrefix": "/a/"},
    "Action": {"Service": "desk", "TimeoutS": 1, "MaxAttempts": 2},
}
DOCUMENT = {
    "Version": "0000000c",
    "Limits": {"MaxHeaderBytes": 16384},
    "Listeners": [{"Host": "shop.example", "RuleTables": [RULE]}],
    "Clusters": [{"Name": "desk", "HealthPath": "/health"}],
}
VALUES = (
    *(
        None,
        True,
        -1,
        0,
        1 << 64,
        1e308,
        -1e308,
        "",
        "\u0000",
        "\ud800",
        "desk",
        "x" * 70_000,
    ),
    *([], {}, [[[]]], {"Service": "none"}, float("inf"), float("nan")),
)


def places(value):
    """Yield each container of a value with a key in it."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        yield value, key
        if isinstance(item, dict | list):
            yield from places(item)


def alter(random, value):
    """Return bytes of a value with other types, or torn or changed."""
    value = json.loads(json.dumps(value))
    for _ in range(random.randint(1, 2)):
        container, key = random.choice(list(places(value)))
        if random.random() < 0.2:
            del container[key]
            break
        container[key] = copy.deepcopy(random.choice(VALUES))
    data = bytearray(json.dumps(value).encode())
    draw = random.random()
    if draw < 0.2:
        del data[random.randrange(len(data)) :]
    elif draw < 0.4:
        data[random.randrange(len(data))] = random.randrange(256)
    return bytes(data)


@pytest.mark.parametrize("seed", range(3))
def test_no_altered_heartbeat_raises(seed):
    random = Random(seed)
    results = [
        read_heartbeat("i-1", alter(random, HEARTBEAT), "desk", "10.0.0.9")
        for _ in range(1_000)
    ]
    assert all(isinstance(one, Ok | Err) for one in results)
    assert sum(one.is_err() for one in results) > 300


@pytest.mark.parametrize("seed", range(3))
def test_no_altered_document_raises(seed):
    """Check also that an accepted document is rendered."""
    random = Random(seed)
    format_ = ConfigurationFormat("mesh")
    refused = 0
    for _ in range(1_000):
        read = format_.read(alter(random, DOCUMENT))
        if isinstance(read, Err):
            refused += 1
        else:
            format_.render(read.ok_value)
    assert 300 < refused < 1_000

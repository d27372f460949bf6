import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_calls.call_priority import CallPriority
from rhubarbhollow_calls.call_route import CallRoute
from rhubarbhollow_calls.path_normalization import normalize_path
from rhubarbhollow_calls.route_table import DuplicateRoute, RouteTable


def route(name: str, host: str, prefix: str) -> CallRoute:
    return CallRoute(
        name, host, prefix, "s", 100, 2, 0.1, CallPriority.BULK, True, ()
    )


TABLE = RouteTable(
    7,
    [
        route("root", "*", "/"),
        route("lots", "*", "/lots"),
        route("lot-history", "*", "/lots/history/"),
        route("own", "Bench.example", "/lots"),
        route("six", "[::1]", "/lots"),
    ],
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        (b"x", b"/lots", "lots"),
        (b"x", b"/lots/", "lots"),
        (b"x", b"/lots/3", "lots"),
        (b"x", b"/lots?x=/../y", "lots"),
        (b"x", b"/lotsx", "root"),
        (b"x", b"/LOTS", "root"),
        (b"x", b"/lots/history", "lots"),
        (b"x", b"/lots/history?x=/", "lots"),
        (b"x", b"/lots/history/", "lot-history"),
        (b"x", b"/lots/history/2/" + b"a/" * 500, "lot-history"),
        (b"x", b"/lots/histor", "lots"),
        (b"x", b"/", "root"),
        # As it is sent it is of root, and normalized of lots.
        (b"x", b"/%6cots/3", None),
        (b"x", b"/%6Cots", None),
        (b"x", b"/%72efunds", "root"),
        (b"x", b"/lots/%68istory/", None),
        (b"x", b"/lots/%7Ea", "lots"),
        (b"x", b"/lots%3F", "root"),
        (b"x", b"/lots/a%20b%c3%a9", "lots"),
        (b"BENCH.example:8080", b"/lots/1", "own"),
        (b"bench.example.", b"/lots/1", "own"),
        (b"bench.example", b"/other", "root"),
        (b"[::1]:80", b"/lots", "six"),
        (b"x", b"", None),
        (b"x", b"*", None),
        (b"x", b"lots", None),
        (b"x", b"http://x/lots", None),
        (b"x", b"//lots", None),
        (b"x", b"/lots//3", None),
        (b"x", b"/lots/../refunds", None),
        (b"x", b"/lots/.", None),
        (b"x", b"/lots/..", None),
        (b"x", b"/lots/%2e%2E/refunds", None),
        (b"x", b"/lots/.%2e", None),
        (b"x", b"/lots%2f..%2frefunds", None),
        (b"x", b"/lots%2Frefunds", None),
        (b"x", b"/lots%5Crefunds", None),
        (b"x", b"/lots\\refunds", None),
        (b"x", b"/%2572efunds", None),
        (b"x", b"/lots%00", None),
        (b"x", b"/lots%", None),
        (b"x", b"/lots%2", None),
        (b"x", b"/lots%zz", None),
        (b"x", b"/lots/...", "lots"),
        (b"x", b"/lots/.hidden", "lots"),
    ],
)
def test_route_of_a_request_target(
    host: bytes, path: bytes, name: str | None
) -> None:
    matched = TABLE.match(host, path)
    assert (matched.name if matched else None) == name


SEGMENTS = st.sampled_from(["a", "ab", "b", "abc"])
PATHS = st.builds(
    lambda segments, end: "/" + "/".join(segments) + end,
    st.lists(SEGMENTS, min_size=1, max_size=5),
    st.sampled_from(["", "/"]),
)
PREFIXES = st.one_of(st.just("/"), PATHS)


def begins(prefix: str, path: str) -> bool:
    """Return whether a prefix matches a path, by the documentation."""
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(f"{prefix}/")


@given(st.sets(PREFIXES, max_size=8), PATHS)
def test_the_longest_prefix_that_begins_the_path_is_selected(
    prefixes: set[str], path: str
) -> None:
    """Guard against a prefix that takes over the path before it."""
    table = RouteTable(1, [route(each, "*", each) for each in prefixes])
    matched = table.match(b"h", path.encode())
    expected = max(
        (each for each in prefixes if begins(each, path)),
        key=len,
        default=None,
    )
    assert (matched.name if matched else None) == expected


@given(st.sets(PREFIXES, min_size=1, max_size=6), PREFIXES, PATHS)
def test_an_added_route_changes_only_paths_that_begin_with_it(
    prefixes: set[str], added: str, path: str
) -> None:
    """Guard against requests that a new route takes from others."""
    before = RouteTable(1, [route(each, "*", each) for each in prefixes])
    after = before.change(2, (), [route(added, "*", added)])
    if not begins(added, path):
        target = path.encode()
        assert after.match(b"h", target) is before.match(b"h", target)


HOSTS = st.sampled_from(["a", "a:80", "a:8080", "b", "b:80", "*"])
PLACES = st.sets(
    st.tuples(HOSTS, st.sampled_from(["/", "/a", "/a/", "/a//", "/a/b/"])),
    max_size=8,
)


def naive_route(
    places: set[tuple[str, str]], host: str, path: str
) -> tuple[str, str] | None:
    """Return the host and prefix of the route, by the documentation."""
    bare = host.partition(":")[0]
    groups = (
        lambda one: one == host,
        lambda one: one.partition(":")[0] == bare,
        lambda one: one == "*",
    )
    for is_in_group in groups:
        found = [
            place
            for place in places
            if is_in_group(place[0]) and begins(place[1], path)
        ]
        if found:
            return min(found, key=lambda place: (-len(place[1]), place[0]))
    return None


@given(
    st.lists(PLACES, min_size=1, max_size=4),
    st.sampled_from(["a", "A:80", "a:8080", "a:1", "b", "b:80", "c"]),
    st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/b/c", "/b"]),
)
def test_hosts_with_and_without_port_are_distinct(
    steps: list[set[tuple[str, str]]], host: str, path: str
) -> None:
    """Guard against routes that a table takes for the same one.

    Manifests with them pass all checks.
    """
    table = RouteTable(0, ())
    before: set[tuple[str, str]] = set()
    for position, places in enumerate(steps, 1):
        removed = [f"{host}{prefix}" for host, prefix in before - places]
        added = [route(f"{h}{prefix}", h, prefix) for h, prefix in places]
        table = table.change(position, removed, added)
        before = places
        for each in (table, RouteTable(position, added)):
            matched = each.match(host.encode(), path.encode())
            expected = naive_route(places, host.lower(), path)
            found = matched and (matched.host, matched.prefix)
            assert found == expected


@given(
    st.sets(PREFIXES | st.sampled_from(["/%61", "/%61/", "/a/%62/"])),
    PATHS,
    st.lists(st.booleans(), min_size=20, max_size=20),
)
def test_an_encoded_path_is_never_that_of_another_route(
    prefixes: set[str], path: str, encoded: list[bool]
) -> None:
    """Guard against requests run by a service that is not theirs."""
    sent = "".join(
        f"%{ord(character):02x}"
        if is_encoded and character != "/"
        else character
        for character, is_encoded in zip(path, encoded, strict=False)
    )
    sent += path[len(encoded) :]
    table = RouteTable(1, [route(each, "*", each) for each in prefixes])
    matched = table.match(b"h", sent.encode())
    if matched is None:
        assert sent != path or not any(begins(each, path) for each in prefixes)
        return
    as_sent = max((p for p in prefixes if begins(p, sent)), key=len)
    assert matched.name == as_sent
    normalized = [each for each in prefixes if begins(each, path)]
    assert not normalized or max(normalized, key=len) == as_sent


def test_path_normalization_is_idempotent() -> None:
    """A normalized path must not decode to another path upstream."""
    rng = random.Random(6)
    alphabet = [b"/", b".", b"a", b"%2e", b"%2F", b"%61", b"%25", b"%41", b"~"]
    for _ in range(5000):
        path = b"/" + b"".join(rng.choices(alphabet, k=rng.randint(0, 7)))
        normalized = normalize_path(path)
        assert normalized is None or normalize_path(normalized) == normalized


def test_lookup_by_name_and_duplicate_routes() -> None:
    assert TABLE.position == 7
    assert TABLE.named("lots") in TABLE.routes
    for pair in (("a", "/x", "a", "/y"), ("a", "/x/", "b", "/x/")):
        routes = [route(pair[0], "*", pair[1]), route(pair[2], "*", pair[3])]
        with pytest.raises(DuplicateRoute):
            RouteTable(1, routes)


def test_a_changed_table_agrees_with_a_new_one() -> None:
    """Guard against routes that a change leaves behind or loses."""
    rng = random.Random(7)
    hosts = ("*", "one.example", "two.example")
    paths = [b"/", b"/a", b"/a/b", b"/b", b"/b/a/c", b"/c"]
    prefixes = ["/", "/a", "/a/b", "/b", "/b/a", "/c"]
    for _ in range(40):
        places = [(host, prefix) for host in hosts for prefix in prefixes]
        names = [str(number) for number in range(len(places))]
        before = {}
        table = RouteTable(0, ())
        for position in range(1, 8):
            rng.shuffle(places)
            after = {
                name: before.get(name) or route(name, *place)
                for name, place in zip(names, places, strict=True)
                if rng.random() < 0.5
            }
            taken = [(each.host, each.prefix) for each in after.values()]
            after = {
                name: each
                for index, (name, each) in enumerate(after.items())
                if taken.index((each.host, each.prefix)) == index
            }
            removed = before.keys() - after.keys()
            upserts = [
                each
                for name, each in after.items()
                if before.get(name) is not each
            ]
            old = table
            table = old.change(position, removed, upserts)
            whole = RouteTable(position, after.values())
            assert set(table.routes) == set(whole.routes)
            assert set(old.routes) == set(before.values())
            for host in (b"one.example", b"two.example", b"other"):
                for path in paths:
                    assert table.match(host, path) == whole.match(host, path)
            before = after


def test_a_change_to_a_match_that_is_taken_is_refused() -> None:
    """Guard against a route that hides another one."""
    with pytest.raises(DuplicateRoute):
        TABLE.change(8, (), [route("lots-2", "*", "/lots")])
    swapped = TABLE.change(
        8, ("lots",), [route("lots-2", "*", "/lots"), route("own", "*", "/o")]
    )
    assert swapped.match(b"bench.example", b"/lots").name == "lots-2"
    assert swapped.match(b"x", b"/o").name == "own"
    assert TABLE.match(b"bench.example", b"/lots").name == "own"

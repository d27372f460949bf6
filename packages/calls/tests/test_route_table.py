import random

import pytest

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
        (b"x", b"/lots/history", "lot-history"),
        (b"x", b"/lots/history/2/" + b"a/" * 500, "lot-history"),
        (b"x", b"/lots/histor", "lots"),
        (b"x", b"/", "root"),
        (b"x", b"/%6cots/3", "lots"),
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


def naive_match(routes: list[CallRoute], path: bytes) -> str | None:
    segments = path.decode().strip("/").split("/")
    best: tuple[int, str] | None = None
    for candidate in routes:
        wanted = [part for part in candidate.prefix.split("/") if part]
        if segments[: len(wanted)] == wanted:
            found = (len(wanted), candidate.name)
            best = max(best, found) if best else found
    return best[1] if best else None


def test_longest_prefix_agrees_with_a_naive_search() -> None:
    rng = random.Random(5)
    for _ in range(60):
        prefixes = {
            "/" + "/".join(rng.choices(["a", "ab", "b"], k=rng.randint(0, 4)))
            for _ in range(rng.randint(1, 8))
        }
        routes = [route(p, "*", p) for p in sorted(prefixes)]
        table = RouteTable(1, routes)
        for _ in range(60):
            parts = rng.choices(["a", "ab", "b", "abc"], k=rng.randint(1, 6))
            path = ("/" + "/".join(parts)).encode()
            matched = table.match(b"h", path)
            name = matched.name if matched else None
            assert name == naive_match(routes, path)


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
    for pair in (("a", "/x", "a", "/y"), ("a", "/x", "b", "/x/")):
        routes = [route(pair[0], "*", pair[1]), route(pair[2], "*", pair[3])]
        with pytest.raises(DuplicateRoute):
            RouteTable(1, routes)

"""The routes of one release, looked up by host and path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.path_rule import maybe_plain_path

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhollow_calls.call_route import CallRoute

ANY_HOST: Final = b"*"


class DuplicateRoute(InvariantViolation):
    """Two routes of one release share a host and a prefix."""


class RouteTable:
    """Hold the routes of the release at ``position``; never changes.

    A host's own routes are tried before those of ``*``; within a host
    the longest prefix that ends at a segment boundary wins.
    """

    __slots__ = ("_any_host", "_by_host", "_by_name", "_position")

    def __init__(self, position: int, routes: Iterable[CallRoute]) -> None:
        self._position = position
        self._by_name: dict[str, CallRoute] = {}
        self._by_host: dict[bytes, _HostRoutes] = {}
        for route in routes:
            self._add(route)
        self._any_host = self._by_host.pop(ANY_HOST, _HostRoutes())

    @property
    def position(self) -> int:
        """Return the position of the release that the routes are of."""
        return self._position

    @property
    def routes(self) -> tuple[CallRoute, ...]:
        """Return all routes in the order of the release."""
        return tuple(self._by_name.values())

    def named(self, name: str) -> CallRoute | None:
        """Return the route called ``name``, or nothing."""
        return self._by_name.get(name)

    def match(self, host: bytes, path: bytes) -> CallRoute | None:
        """Return the route for a request target, or nothing.

        The query is ignored. A path that two parsers may read
        differently matches no route; ``path_rule`` has the rule.
        """
        plain = maybe_plain_path(path)
        if plain is None:
            return None
        own = self._by_host.get(normalize_host(host))
        if own is not None:
            route = own.longest(plain)
            if route is not None:
                return route
        return self._any_host.longest(plain)

    def _add(self, route: CallRoute) -> None:
        host = normalize_host(route.host.encode())
        if route.name in self._by_name:
            raise DuplicateRoute(route.name)
        self._by_name[route.name] = route
        self._by_host.setdefault(host, _HostRoutes()).add(route)


class _HostRoutes:
    """Hold the routes of one host by prefix."""

    __slots__ = ("_by_prefix", "_max_length")

    def __init__(self) -> None:
        self._by_prefix: dict[bytes, CallRoute] = {}
        self._max_length = 0

    def add(self, route: CallRoute) -> None:
        prefix = route.prefix.encode().rstrip(b"/")
        if prefix in self._by_prefix:
            raise DuplicateRoute(route.name)
        self._by_prefix[prefix] = route
        self._max_length = max(self._max_length, len(prefix))

    def longest(self, path: bytes) -> CallRoute | None:
        # cut first, so that a long path costs no more than the
        # longest prefix has segments
        end = len(path)
        if end > self._max_length:
            end = path.rfind(b"/", 0, self._max_length + 1)
        while end > 0:
            route = self._by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return self._by_prefix.get(b"")


def normalize_host(host: bytes) -> bytes:
    """Return ``host`` in lower case without port and final dot."""
    bare = host.lower()
    if bare.startswith(b"["):
        return bare.partition(b"]")[0] + b"]"
    return bare.partition(b":")[0].rstrip(b".")

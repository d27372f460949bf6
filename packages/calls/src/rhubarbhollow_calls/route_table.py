"""Routes of one release, looked up by host and path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_calls.invariant import InvariantViolation
from rhubarbhollow_calls.path_normalization import normalize_path

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from rhubarbhollow_calls.call_route import CallRoute

ANY_HOST: Final = b"*"


class DuplicateRoute(InvariantViolation):
    """Two routes of a release share a name, or a host and a prefix.

    Hosts and prefixes are compared as they are written, as the checks
    of manifests do.
    """


class RouteTable:
    """Immutable table of the routes of the release at ``position``.

    The routes of the host as the caller names it are tried first, then
    those of the same host with another port or none, and then those of
    ``*``.  Within each, the longest matching prefix wins.

    A prefix with a final slash matches the paths that begin with it;
    ``/a/`` does not match ``/a``.  One without a final slash also ends
    at a segment boundary: ``/a`` matches ``/a`` and ``/a/b``, but not
    ``/ab``.
    """

    __slots__ = (
        "_any_host",
        "_by_host",
        "_by_name",
        "_position",
        "_spellings",
    )

    def __init__(self, position: int, routes: Iterable[CallRoute]) -> None:
        self._position = position
        self._by_name: dict[str, CallRoute] = {}
        self._by_host: dict[bytes, _HostRoutes] = {}
        # The keys of ``_by_host`` by normalized host, in the order in
        # which they are tried.
        self._spellings: dict[bytes, tuple[bytes, ...]] = {}
        for route in routes:
            self._add(route)
        self._any_host = self._by_host.pop(ANY_HOST, _HostRoutes())

    @property
    def position(self) -> int:
        """Return the position of the release with these routes."""
        return self._position

    @property
    def routes(self) -> Collection[CallRoute]:
        """Return all routes, in no particular order."""
        return self._by_name.values()

    def named(self, name: str) -> CallRoute | None:
        """Return the route with this name, or ``None``."""
        return self._by_name.get(name)

    def match(self, host: bytes, path: bytes) -> CallRoute | None:
        """Return the route for a request target, or ``None``.

        The query is ignored, and the path is compared as it is sent. A
        path that two parsers may interpret differently matches no
        route: see ``path_normalization``. So does one that is
        normalized to a path of another route.
        """
        normalized = normalize_path(path)
        if normalized is None:
            return None
        sent = path.partition(b"?")[0]
        route = self._find(host, sent)
        if route is None or normalized == sent:
            return route
        other = self._find(host, normalized)
        return route if other is None or other is route else None

    def _find(self, host: bytes, path: bytes) -> CallRoute | None:
        host_routes = self._by_host.get(host.lower())
        if host_routes is not None:
            route = host_routes.longest_match(path)
            if route is not None:
                return route
        spellings = self._spellings.get(normalize_host(host), ())
        found = [
            route
            for spelling in spellings
            if (route := self._by_host[spelling].longest_match(path))
        ]
        if found:
            return max(found, key=lambda route: len(route.prefix))
        return self._any_host.longest_match(path)

    def change(
        self,
        position: int,
        removed: Iterable[str],
        upserts: Iterable[CallRoute],
    ) -> RouteTable:
        """Return the table of the release at ``position``.

        It differs from this one in the named routes that it lacks and
        in those added or replaced.
        """
        upserts = tuple(upserts)
        names = {*removed, *(route.name for route in upserts)}
        replaced = [
            self._by_name[name] for name in names if name in self._by_name
        ]
        changed = RouteTable(position, ())
        changed._by_name = {**self._by_name}
        changed._by_host = {**self._by_host, ANY_HOST: self._any_host}
        changed._spellings = {**self._spellings}
        for host in {_host_of(route) for route in (*replaced, *upserts)}:
            routes = changed._by_host.get(host)
            if routes is not None:
                changed._by_host[host] = routes.copy()
        for route in replaced:
            del changed._by_name[route.name]
            changed._by_host[_host_of(route)].remove(route)
        for route in upserts:
            changed._add(route)
        changed._any_host = changed._by_host.pop(ANY_HOST)
        changed._forget_empty(map(_host_of, replaced))
        return changed

    def _forget_empty(self, hosts: Iterable[bytes]) -> None:
        for host in hosts:
            routes = self._by_host.get(host)
            if routes is None or not routes.is_empty:
                continue
            del self._by_host[host]
            normalized = normalize_host(host)
            spellings = self._spellings.pop(normalized)
            others = tuple(each for each in spellings if each != host)
            if others:
                self._spellings[normalized] = others

    def _add(self, route: CallRoute) -> None:
        host = _host_of(route)
        if route.name in self._by_name:
            raise DuplicateRoute(f"two routes have the name {route.name!r}")
        self._by_name[route.name] = route
        routes = self._by_host.get(host)
        if routes is None:
            routes = self._by_host[host] = _HostRoutes()
            self._add_spelling(host)
        routes.add(route)

    def _add_spelling(self, host: bytes) -> None:
        if host == ANY_HOST:
            return
        normalized = normalize_host(host)
        spellings = {*self._spellings.get(normalized, ()), host}
        # The normalized host, a prefix of the others, comes first.
        self._spellings[normalized] = tuple(sorted(spellings))


class _HostRoutes:
    """Routes of one host by path prefix."""

    __slots__ = ("_by_prefix", "_max_length")

    def __init__(self) -> None:
        self._by_prefix: dict[bytes, CallRoute] = {}
        self._max_length = 0

    @property
    def is_empty(self) -> bool:
        return not self._by_prefix

    def copy(self) -> _HostRoutes:
        copied = _HostRoutes()
        copied._by_prefix = {**self._by_prefix}
        copied._max_length = self._max_length
        return copied

    def remove(self, route: CallRoute) -> None:
        # The limit on the length stays: one that is too high costs a
        # few lookups of long paths.
        del self._by_prefix[_prefix_of(route)]

    def add(self, route: CallRoute) -> None:
        prefix = _prefix_of(route)
        if prefix in self._by_prefix:
            raise DuplicateRoute(
                f"route {route.name!r} has the host and prefix of another"
                f" route: {route.host!r}, {route.prefix!r}"
            )
        self._by_prefix[prefix] = route
        self._max_length = max(self._max_length, len(prefix))

    def longest_match(self, path: bytes) -> CallRoute | None:
        if len(path) <= self._max_length:
            route = self._by_prefix.get(path)
            if route is not None:
                return route
        # Slashes beyond the one after the longest prefix are skipped: a
        # long path needs no more lookups than that prefix has segments.
        end = min(len(path), self._max_length + 1)
        while (slash := path.rfind(b"/", 0, end)) >= 0:
            for prefix in (path[: slash + 1], path[:slash]):
                route = self._by_prefix.get(prefix)
                if route is not None:
                    return route
            end = slash
        return None


def _host_of(route: CallRoute) -> bytes:
    return route.host.encode().lower()


def _prefix_of(route: CallRoute) -> bytes:
    return route.prefix.encode()


def normalize_host(host: bytes) -> bytes:
    """Return ``host`` in lower case without port and trailing dot."""
    bare = host.lower()
    if bare.startswith(b"["):
        return bare.partition(b"]")[0] + b"]"
    return bare.partition(b":")[0].rstrip(b".")

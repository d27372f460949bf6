"""The directory of the control instances known to a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.control_list import ControlList

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rhubarbhollow_distribution.control_address import ControlAddress

# Addresses from a seed list do not include the data centre.
UNKNOWN_DATA_CENTRE: Final = ""
# Limits how many entries an incorrect list can add; a mesh has far
# fewer control instances.
MAX_CONTROLS: Final = 256


def adds_data_centre(known: ControlAddress, update: ControlAddress) -> bool:
    """Return whether ``update`` adds the data centre of ``known``.

    Nothing else of a known entry is updated: two processes configured
    with different addresses of a third would overwrite each other's
    entry forever.
    """
    return (
        known.data_centre == UNKNOWN_DATA_CENTRE
        and update.data_centre != UNKNOWN_DATA_CENTRE
    )


class ControlDirectory:
    """Collect control instances from seeds and received lists.

    Entries are only added or completed with a data centre, never
    removed: the replicated log decides whether an instance is still a
    member, and a stale address costs only an occasional failed
    connection attempt.  Nodes, which have to find a source within a
    short time, are not told of those that are absent.
    """

    def __init__(self, seeds: Iterable[ControlAddress] = ()) -> None:
        self._by_name: dict[str, ControlAddress] = {}
        self._absent: frozenset[str] = frozenset()
        self._watchers: list[Callable[[], None]] = []
        self.merge(seeds)

    @property
    def addresses(self) -> tuple[ControlAddress, ...]:
        """Return every known control instance."""
        return tuple(self._by_name.values())

    @property
    def names(self) -> frozenset[str]:
        """Return the names of every known control instance."""
        return frozenset(self._by_name)

    @property
    def message(self) -> ControlList:
        """Return the list to send to other instances."""
        return ControlList(self.addresses)

    @property
    def node_message(self) -> ControlList:
        """Return the list to send to nodes, without absent ones."""
        return ControlList(
            tuple(
                address
                for address in self.addresses
                if address.name not in self._absent
            )
        )

    def set_absent(self, names: Iterable[str]) -> bool:
        """Set the instances that this one doesn't reach.

        Return whether that changes the list for nodes.
        """
        absent = frozenset(names)
        is_changed = absent != self._absent
        self._absent = absent
        return is_changed

    def serves(self, data_centre: str) -> bool:
        """Return whether an instance is known in the data centre."""
        return any(
            address.data_centre == data_centre
            for address in self._by_name.values()
        )

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of an instance, if it is known."""
        address = self._by_name.get(name)
        return address.data_centre if address else UNKNOWN_DATA_CENTRE

    def watch(self, watcher: Callable[[], None]) -> None:
        """Register ``watcher`` to be called after each change."""
        self._watchers.append(watcher)

    def merge(self, addresses: Iterable[ControlAddress]) -> bool:
        """Merge ``addresses``; return whether the directory changed."""
        # Build the whole list first: any() alone would stop merging at
        # the first change.
        changes = [self._add(address) for address in addresses]
        if not any(changes):
            return False
        for watcher in self._watchers:
            watcher()
        return True

    def _add(self, address: ControlAddress) -> bool:
        known = self._by_name.get(address.name)
        if known is None and len(self._by_name) >= MAX_CONTROLS:
            return False
        if known is not None and not adds_data_centre(known, address):
            return False
        self._by_name[address.name] = address
        return True

"""What a process knows of the mesh's control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from rhubarbhollow_distribution.control_list import ControlList

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rhubarbhollow_distribution.control_address import ControlAddress

# an address from a list of seeds comes without its data centre
UNKNOWN_DATA_CENTRE: Final = ""
# many times what one mesh has; bounds what a wrong list can add
MAX_CONTROLS: Final = 256


def is_completed_by(known: ControlAddress, news: ControlAddress) -> bool:
    """Say whether ``news`` adds a data centre to what is known.

    Nothing else is taken over: two processes that were told different
    addresses of a third would correct each other for ever.
    """
    return (
        known.data_centre == UNKNOWN_DATA_CENTRE
        and news.data_centre != UNKNOWN_DATA_CENTRE
    )


class ControlDirectory:
    """Collect the control instances from seeds and from each other.

    Entries are only added, or completed with a data centre: whether an
    instance still takes part is decided by the quorum log, and a dead
    address costs a failed connection now and then.
    """

    def __init__(self, seeds: Iterable[ControlAddress] = ()) -> None:
        self._by_name: dict[str, ControlAddress] = {}
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
        """Return what to tell others."""
        return ControlList(self.addresses)

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` after each change."""
        self._watchers.append(watcher)

    def merge(self, addresses: Iterable[ControlAddress]) -> bool:
        """Take over what is news; return whether anything was."""
        # no short circuit: every address is taken over
        news = [self._take(address) for address in addresses]
        if not any(news):
            return False
        for watcher in self._watchers:
            watcher()
        return True

    def _take(self, address: ControlAddress) -> bool:
        known = self._by_name.get(address.name)
        if known is None and len(self._by_name) >= MAX_CONTROLS:
            return False
        if known is not None and not is_completed_by(known, address):
            return False
        self._by_name[address.name] = address
        return True

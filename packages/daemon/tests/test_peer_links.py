"""What an instance knows of the instances in other data centres."""

from random import Random
from types import SimpleNamespace

from rhubarbhollow_daemon.messages import PeerHello
from rhubarbhollow_daemon.peer_links import PeerLinks
from rhubarbhollow_distribution.control_address import ControlAddress
from rhubarbhollow_distribution.control_directory import ControlDirectory
from rhubarbhollow_distribution.local_source import LocalSource
from rhubarbhollow_wire.traffic import Traffic


def test_a_local_source_is_reachable_while_a_link_to_it_is_up():
    """Guard against nodes that wait for an instance which is away."""
    directory = ControlDirectory()
    links = PeerLinks(
        PeerHello("m", "c1", 1, 0), directory, Traffic(), Random(1)
    )
    assert links.local_source("temeke") is LocalSource.NONE
    directory.merge([ControlAddress("c2", "temeke", "h2", 1)])
    directory.merge([ControlAddress("c3", "temeke", "h3", 1)])
    directory.merge([ControlAddress("c4", "ilala", "h4", 1)])
    assert links.local_source("temeke") is LocalSource.KNOWN
    links._links["c4"] = SimpleNamespace(is_up=True)
    assert links.local_source("temeke") is LocalSource.KNOWN
    links._links["c3"] = SimpleNamespace(is_up=True)
    assert links.local_source("temeke") is LocalSource.REACHABLE

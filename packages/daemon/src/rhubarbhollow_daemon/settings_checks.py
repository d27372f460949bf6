"""Consistency checks between settings."""

from __future__ import annotations

import ipaddress
from collections import Counter
from typing import TYPE_CHECKING, Final

from rhubarbhollow_daemon.settings_fault import (
    SettingsFault,
    SettingsFaultKind,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rhubarbhollow_daemon.settings import Settings
    from rhubarbhollow_distribution.control_address import ControlAddress

MIN_HEARTBEATS_IN_LEASE: Final = 3
MIN_HEARTBEATS_IN_ELECTION: Final = 3


def find_contradictions(settings: Settings) -> Iterator[SettingsFault]:
    """Yield every fault that the schema cannot detect.

    Most are contradictions between two or more settings.
    """
    yield from _check_ports(settings)
    yield from _check_advertised(settings)
    yield from _check_controls(settings)
    yield from _check_own_role(settings)
    yield from _check_times(settings)


def _check_ports(settings: Settings) -> Iterator[SettingsFault]:
    listen = settings.listen
    ports = {
        "caller_port": listen.caller_port,
        "peer_port": listen.peer_port,
        "admin_port": listen.admin_port,
        "control_port": listen.control_port,
    }
    counts = Counter(ports.values())
    for key, port in ports.items():
        if port is not None and counts[port] > 1:
            yield _duplicate(
                f"/listen/{key}",
                f"port {port} is used by more than one listener",
            )


def _check_advertised(settings: Settings) -> Iterator[SettingsFault]:
    if ipaddress.ip_address(settings.advertise_host).is_unspecified:
        yield _contradiction(
            "/advertise_host",
            "other processes cannot connect to the unspecified address",
        )


def _check_controls(settings: Settings) -> Iterator[SettingsFault]:
    controls = settings.controls
    names = Counter(control.name for control in controls)
    addresses = Counter(_address_of(control) for control in controls)
    for index, control in enumerate(controls):
        if names[control.name] > 1:
            yield _duplicate(f"/controls/{index}/name", control.name)
        if addresses[_address_of(control)] > 1:
            yield _duplicate(
                f"/controls/{index}/port",
                f"{control.host} port {control.port}",
            )


def _check_own_role(settings: Settings) -> Iterator[SettingsFault]:
    own = next(
        (
            control
            for control in settings.controls
            if control.name == settings.instance.name
        ),
        None,
    )
    if settings.control is None:
        yield from _check_node_role(settings, own)
        return
    yield from _check_members(settings.control.members, settings.controls)
    if own is None:
        yield _contradiction(
            "/controls",
            f"control instance {settings.instance.name} is not listed",
        )
        return
    yield from _check_own_address(settings, own)


def _check_node_role(
    settings: Settings,
    own: ControlAddress | None,
) -> Iterator[SettingsFault]:
    if own is not None:
        yield _contradiction(
            "/control",
            f"{own.name} is listed in /controls without a control section",
        )
    if settings.listen.control_port is not None:
        yield _contradiction(
            "/listen/control_port",
            "only a control instance has a control port",
        )


def _check_own_address(
    settings: Settings,
    own: ControlAddress,
) -> Iterator[SettingsFault]:
    if settings.listen.control_port is None:
        yield SettingsFault(
            "/listen/control_port",
            SettingsFaultKind.MISSING_KEY,
            "a control instance needs a control port",
        )
    elif own.port != settings.listen.control_port:
        yield _contradiction(
            "/listen/control_port",
            f"/controls lists port {own.port} for this instance",
        )
    if own.data_centre != settings.instance.data_centre:
        yield _contradiction(
            "/instance/data_centre",
            f"/controls lists {own.data_centre} for this instance",
        )
    if own.host != settings.advertise_host:
        yield _contradiction(
            "/advertise_host",
            f"/controls lists {own.host} for this instance",
        )


def _check_members(
    members: Iterable[str],
    controls: Iterable[ControlAddress],
) -> Iterator[SettingsFault]:
    known = {control.name for control in controls}
    for index, member in enumerate(members):
        if member not in known:
            yield _contradiction(
                f"/control/members/{index}",
                f"{member} is not listed in /controls",
            )


def _check_times(settings: Settings) -> Iterator[SettingsFault]:
    distribution = settings.distribution
    if distribution.lease < MIN_HEARTBEATS_IN_LEASE * distribution.heartbeat:
        yield _contradiction(
            "/distribution/lease_ms",
            f"shorter than {MIN_HEARTBEATS_IN_LEASE} heartbeat intervals",
        )
    control = settings.control
    if control is None:
        return
    shortest = MIN_HEARTBEATS_IN_ELECTION * control.heartbeat
    if control.election_timeout < shortest:
        yield _contradiction(
            "/control/election_timeout_ms",
            f"shorter than {MIN_HEARTBEATS_IN_ELECTION} heartbeat intervals",
        )


def _address_of(control: ControlAddress) -> tuple[str, int]:
    return (control.host, control.port)


def _duplicate(path: str, detail: str) -> SettingsFault:
    return SettingsFault(path, SettingsFaultKind.DUPLICATE, detail)


def _contradiction(path: str, detail: str) -> SettingsFault:
    return SettingsFault(path, SettingsFaultKind.CONTRADICTION, detail)

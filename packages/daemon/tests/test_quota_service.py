"""Quotas at a control instance that also leads."""

from types import SimpleNamespace

from rhubarbhollow_daemon.outbox import Outbox
from rhubarbhollow_daemon.quota_reading import quota_of, quotas_of_resources
from rhubarbhollow_daemon.quota_service import QuotaService
from rhubarbhollow_quota.gate import QuotaGate
from rhubarbhollow_quota.messages import QuotaReport
from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_quota.verdict import Admitted, Wait
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.manifest_header import ManifestHeader
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_release.tenant_entry import TenantEntry
from rhubarbhollow_wire.clock import ManualClock

LIMITED = TenantEntry("limited", rate=20.0, burst=10.0)
FREE = TenantEntry("free")


def resources_with(*tenants):
    manifest = Manifest(ManifestHeader(1, "m", 1), (), (), (), tuple(tenants))
    return split_manifest(manifest)


def build(term=1, *, is_fresh=True):
    clock = ManualClock()
    status = SimpleNamespace(
        is_leader=True, is_fresh=is_fresh, term=term, leader="c", members=()
    )
    resources = resources_with(LIMITED, FREE)
    ledger = SimpleNamespace(
        active=SimpleNamespace(position=1, resources=resources),
        records=(SimpleNamespace(position=1),),
        resources_at=lambda _: resources,
    )
    service = QuotaService(
        "c",
        1,
        SimpleNamespace(status=status),
        SimpleNamespace(ledger=ledger),
        SimpleNamespace(send=lambda *_: None),
        clock,
    )
    return service, clock


def build_link(name):
    return SimpleNamespace(
        hello=SimpleNamespace(node=name), outbox=Outbox(), is_ended=False
    )


def sent_to(link):
    return link.outbox._maybe_next()


def ask(service, link, clock):
    # Each gate is another run of the node's process.
    incarnation = int(clock.monotonic()) + 1
    gate = QuotaGate("n", incarnation)
    gate.set_quotas({"limited": Quota(20.0, 10.0)}, clock.monotonic())
    gate.set_connected(True)
    named = SimpleNamespace(name="limited", rate=20.0, burst=10.0)
    assert isinstance(gate.admit(named, clock.monotonic()), Wait)
    service.handle_node_report(link, gate.poll(clock.monotonic()))
    while (grant := sent_to(link)) is not None:
        gate.handle_grant(grant, clock.monotonic())
    return gate.give_up(named, clock.monotonic())


def test_only_limited_tenants_have_a_quota():
    """Guards against traffic and state for tenants without a limit."""
    quotas = quotas_of_resources(resources_with(LIMITED, FREE))
    assert quotas == {"limited": Quota(20.0, 10.0)}
    assert quota_of(7.0, 0.0) == Quota(7.0, 7.0)


def test_a_leader_serves_its_own_node_at_once():
    """Guards against a wait for the next tick of the instance."""
    service, clock = build()
    service.tick()
    clock.advance(1.0)
    service.tick()
    assert isinstance(ask(service, build_link("n"), clock), Admitted)


def test_a_leader_of_a_later_term_waits_for_the_leases_before():
    """Guards against two leaders that lease one quota."""
    service, clock = build(term=2)
    service.tick()
    clock.advance(5.0)
    service.tick()
    assert not isinstance(ask(service, build_link("n"), clock), Admitted)
    clock.advance(6.0)
    service.tick()
    clock.advance(1.0)
    service.tick()
    assert isinstance(ask(service, build_link("n"), clock), Admitted)


def test_a_leader_without_a_lease_of_its_log_leases_nothing():
    """Guards against a deposed leader that does not know it."""
    service, clock = build(is_fresh=False)
    service.tick()
    clock.advance(1.0)
    service.tick()
    assert not isinstance(ask(service, build_link("n"), clock), Admitted)


def test_a_report_in_another_node_s_name_is_refused():
    """Guards against a node that frees another one's share."""
    service, _ = build()
    link = build_link("n")
    service.handle_node_report(link, QuotaReport("x", 9, 1, "", 0, 0, ()))
    assert sent_to(link) is None

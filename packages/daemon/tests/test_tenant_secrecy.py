"""What a node writes and shows of callers' keys: nothing."""

from dataclasses import asdict

from structlog.testing import capture_logs
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run
from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

from rhubarbhollow_calls.http_dialect import Dialect
from rhubarbhollow_calls.io_counters import (
    MAX_COUNTED_TENANTS,
    NodeCounters,
)
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_daemon.burn_recorder import BurnRecorder
from rhubarbhollow_daemon.call_observer import NodeCallObserver
from rhubarbhollow_daemon.decision_log import DecisionLog
from rhubarbhollow_daemon.metric_collection import collect_key_metrics
from rhubarbhollow_daemon.refused_call_log import RefusedCallLog
from rhubarbhollow_tenants.directory import TenantDirectory
from rhubarbhollow_tenants.key_digest import digest_of_key
from rhubarbhollow_tenants.tenant import Tenant

SECRET = "sekret-d41d8"
DIGEST = digest_of_key(SECRET.encode())
DIALECT = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    credential=b"x-key",
    tenant=b"x-tenant",
    is_foreign=True,
)
REQUESTS = (
    (f"x-key: {SECRET}",),
    (f"x-key: {SECRET}", f"x-key: {SECRET}"),
    (f"x-key: {SECRET}x",),
    (f"x-key: {SECRET}", "x-left: none"),
    (f"x-key: {SECRET}", "x-left: 1", "x-left: 1"),
    (f"x-key: {SECRET}", "content-length: none"),
    (f"x-key: {SECRET}", f"connection: x-key, {SECRET}"),
    (f"x-key : {SECRET}",),
    (f"x-key: {SECRET}\x01",),
)


def directory(*digests):
    return TenantDirectory((Tenant("archive", key_digests=digests),))


async def fail(request, writer):
    writer.write(encode_answer(b"", status="500 Failed"))


async def ask(mesh, fields):
    client = await mesh.client("a")
    answer = await client.request("GET", "/a", b"", "x-id: 7", *fields)
    return answer.status, f"{answer.headers} {answer.body}"


def test_no_key_is_logged_shown_or_answered():
    """Guard against keys in logs, metrics, explanations and answers.

    The requests are refused in every place that looks at a key, and
    fail at the upstream as well.
    """

    async def main():
        upstream = ScriptedUpstream(fail)
        await upstream.start()
        settings = CallSettings(dialect=DIALECT, origin=b"shop")
        mesh = Mesh(settings=settings, tenants=directory(DIGEST))
        nodes = [await mesh.add_node("a"), await mesh.add_node("b", upstream)]
        log = RefusedCallLog()
        for one in nodes:
            one.node.observer = NodeCallObserver(
                BurnRecorder(mesh.clock),
                log,
                mesh.clock,
                DecisionLog(mesh.clock),
            )
        seen, statuses = [], set()
        with capture_logs() as lines:
            for number in range(3):
                for fields in REQUESTS:
                    status, text = await ask(mesh, fields)
                    statuses.add(status)
                    seen.append(text)
                # The key is revoked at the upstream's node, then here.
                table = RouteTable(8 + number, (DEFAULT_ROUTE,))
                for one in nodes[1 - number :]:
                    one.node.install(
                        Snapshot(8 + number, table, directory(b"0" * 32))
                    )
        assert {400, 401, 500, 503} <= statuses
        seen += [repr(line) for line in lines]
        seen += [repr(asdict(call)) for call in log.find(b"7")]
        for one in nodes:
            counters = one.node.counters
            seen += [repr(s) for s in collect_key_metrics(counters)]
        assert any("call_refused" in text for text in seen)
        assert any("key_withdrawn" in text for text in seen)
        for text in seen:
            assert SECRET not in text
            assert DIGEST.hex()[:16] not in text
        for request in upstream.requests:
            assert SECRET not in request.raw_head.decode("latin-1")
        await mesh.close()

    run(main())


def test_series_are_bounded():
    """Guard against metrics that grow with each renamed tenant."""
    counters = NodeCounters()
    for number in range(2 * MAX_COUNTED_TENANTS):
        counters.count_withdrawn(f"t-{number}")
    samples = list(collect_key_metrics(counters))
    assert len(samples) <= MAX_COUNTED_TENANTS + 4
    withdrawn = [s for s in samples if "withdrawn" in s.name]
    assert sum(s.value for s in withdrawn) == 2 * MAX_COUNTED_TENANTS

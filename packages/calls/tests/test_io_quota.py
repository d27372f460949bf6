"""Calls of tenants with a quota: refused, held, and served later."""

import asyncio
from dataclasses import replace

import pytest
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run, wait_until
from tests.standin.scripted_upstream import (
    ScriptedUpstream,
    encode_answer,
)

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect
from rhubarbhollow_calls.io_quota import QuotaPort
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_quota.gate import QuotaGate
from rhubarbhollow_quota.messages import QuotaGrant, QuotaShare
from rhubarbhollow_quota.quota import Quota
from rhubarbhollow_tenants.directory import TenantDirectory
from rhubarbhollow_tenants.key_digest import digest_of_key
from rhubarbhollow_tenants.tenant import Tenant
from rhubarbhollow_wire.clock import ManualClock

FOREIGN = Dialect(
    request_id=b"x-id",
    time_limit=b"x-left",
    upstream=b"x-only",
    origin=b"x-from",
    not_run=b"x-untouched",
    credential=b"x-key",
    tenant=b"x-tenant",
    is_foreign=True,
)
DIALECTS = pytest.mark.parametrize("dialect", [FOREIGN, NATIVE_DIALECT])
ROUTE = replace(DEFAULT_ROUTE, prefix="/a")
KEY = "key-1"
TENANT = Tenant(
    "archive",
    rate=5.0,
    burst=5.0,
    key_digests=(digest_of_key(KEY.encode()),),
)


async def answer(request, writer):
    value = request.headers.get("x-id")
    writer.write(encode_answer(b"well", *([f"x-id: {value}"] * bool(value))))


class Setting:
    """A node with a quota port, its upstream and a client."""

    def __init__(self, dialect):
        self.dialect = dialect
        self.clock = ManualClock()
        self.gate = QuotaGate("a", 1)
        self.gate.set_quotas({"archive": Quota(5.0, 5.0)}, 0.0)
        self.port = QuotaPort(self.gate, self.clock, lambda: None)
        self.upstream = ScriptedUpstream(answer)
        self.mesh = Mesh(
            ROUTE,
            settings=CallSettings(dialect=dialect, origin=b"shop"),
            tenants=TenantDirectory((TENANT,)),
        )

    async def start(self):
        await self.upstream.start()
        await self.mesh.add_node("a", self.upstream)
        self.mesh.nodes["a"].node.quota = self.port
        return await self.mesh.client("a")

    def ask(self, client):
        return asyncio.ensure_future(
            client.request(
                "GET",
                "/a",
                b"",
                f"{self.dialect.request_id.decode()}: 7",
                f"{self.dialect.credential.decode()}: {KEY}",
            )
        )

    def grant(self, tokens, retry_ms=0):
        """Answer the report that is due."""
        now = self.clock.monotonic()
        report = self.gate.poll(now)
        share = QuotaShare(
            "archive", 0, 0, 1000 * tokens, 1000 * tokens,
            5000, 5000, 10_000, 60_000, retry_ms,
        )  # fmt: skip
        grant = QuotaGrant("c", 1, report.number, report.number, (share,))
        self.port.resume(self.gate.handle_grant(grant, now))

    @property
    def waiting(self):
        account = self.gate.accounts.get("archive")
        return 0 if account is None else account.waiting


@DIALECTS
def test_a_call_waits_for_a_token_and_is_served(dialect):
    """Guards against rejections while the parent has a token."""

    async def main():
        setting = Setting(dialect)
        client = await setting.start()
        setting.gate.set_connected(True)
        reply = setting.ask(client)
        await wait_until(lambda: setting.waiting == 1)
        assert not setting.upstream.requests
        setting.grant(1)
        assert (await reply).status == 200
        assert len(setting.upstream.requests) == 1
        assert setting.gate.accounts["archive"].admitted == 1
        await setting.mesh.close()

    run(main())


@DIALECTS
def test_a_call_over_the_quota_is_refused_as_not_run(dialect):
    """Guards against a 429 for a call that has run."""

    async def main():
        setting = Setting(dialect)
        client = await setting.start()
        setting.gate.set_connected(True)
        reply = setting.ask(client)
        await wait_until(lambda: setting.waiting == 1)
        setting.grant(0, retry_ms=250)
        answered = await reply
        assert answered.status == 429
        assert answered.headers["rhubarbhollow-refusal"] == "quota_exceeded"
        assert answered.headers["rhubarbhollow-executed"] == "no"
        seconds = answered.headers["retry-after"]
        if dialect.is_foreign:
            assert 0.05 <= float(seconds) <= 2.0
        else:
            assert int(seconds) >= 1
        assert not setting.upstream.requests
        # The parent has no token for a while: the next one is refused
        # without a wait.
        again = await setting.ask(client)
        assert (again.status, setting.waiting) == (429, 0)
        await setting.mesh.close()

    run(main())


@DIALECTS
def test_a_call_that_gets_no_answer_waits_for_a_tenth_of_a_second(dialect):
    """Guards against calls that a silent parent holds."""

    async def main():
        setting = Setting(dialect)
        client = await setting.start()
        setting.gate.set_connected(True)
        began = asyncio.get_running_loop().time()
        answered = await setting.ask(client)
        assert answered.status == 503
        assert asyncio.get_running_loop().time() - began < 1.0
        kind = answered.headers["rhubarbhollow-refusal"]
        assert kind == "quota_unconfirmed"
        assert (setting.waiting, setting.upstream.requests) == (0, [])
        await setting.mesh.close()

    run(main())


def test_a_node_without_a_share_and_without_a_parent_answers_503():
    """Guards against a 429 that blames a tenant within its quota."""

    async def main():
        setting = Setting(FOREIGN)
        client = await setting.start()
        answered = await setting.ask(client)
        assert answered.status == 503
        assert answered.headers["rhubarbhollow-executed"] == "no"
        await setting.mesh.close()

    run(main())


def test_a_caller_that_leaves_does_not_use_a_token():
    """Guards against tokens that are spent on calls that are gone."""

    async def main():
        setting = Setting(NATIVE_DIALECT)
        client = await setting.start()
        setting.gate.set_connected(True)
        reply = setting.ask(client)
        await wait_until(lambda: setting.waiting == 1)
        reply.cancel()
        client.close()
        await wait_until(lambda: setting.waiting == 0)
        setting.grant(1)
        account = setting.gate.accounts["archive"]
        assert account.admitted == 0
        await setting.mesh.close()

    run(main())

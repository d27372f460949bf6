"""Random requests while nodes get releases with random keys."""

import asyncio
from dataclasses import replace
from random import Random

import pytest
from tests.standin.mesh import DEFAULT_ROUTE, Mesh, run
from tests.standin.scripted_upstream import ScriptedUpstream, encode_answer

from rhubarbhollow_calls.http_dialect import NATIVE_DIALECT, Dialect
from rhubarbhollow_calls.io_settings import CallSettings
from rhubarbhollow_calls.io_snapshot import Snapshot
from rhubarbhollow_calls.route_table import RouteTable
from rhubarbhollow_tenants.directory import TenantDirectory
from rhubarbhollow_tenants.key_digest import digest_of_key
from rhubarbhollow_tenants.tenant import Tenant

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
ROUTE = replace(DEFAULT_ROUTE, latency_seconds=2.0, is_idempotent=False)
ALWAYS, NEVER = "always", "never"
SOMETIMES = ["k0", "k1", "k2"]
RELEASES, REQUESTS = 30, 80


def directory(*keys):
    digests = tuple(digest_of_key(key.encode()) for key in (ALWAYS, *keys))
    return TenantDirectory((Tenant("archive", key_digests=digests),))


class Play:
    """Two nodes, the releases they have, and the requests that ran."""

    def __init__(self, dialect, seed):
        self.dialect = dialect
        self.random = Random(seed)
        self.ran = {}
        self.held = {"a": 0, "b": 0}
        self.mesh = Mesh(
            ROUTE,
            settings=CallSettings(dialect=dialect, origin=b"shop"),
            tenants=directory("k0"),
        )

    async def start(self):
        upstream = ScriptedUpstream(self.answer)
        await upstream.start()
        await self.mesh.add_node("a")
        await self.mesh.add_node("b", upstream, slots=2)
        self.releases = [self.mesh.nodes["a"].node.snapshot]
        for name, one in self.mesh.nodes.items():
            one.node.is_release_current = lambda name=name: self.is_latest(
                name
            )

    def is_latest(self, name):
        return self.held[name] + 1 == len(self.releases)

    def catch_up(self):
        """Bring both nodes to the latest release."""
        for name, one in self.mesh.nodes.items():
            self.held[name] = len(self.releases) - 1
            one.node.install(self.releases[-1])

    async def answer(self, request, writer):
        headers = request.headers
        assert not [name for name in headers if "key" in name]
        assert headers[self.dialect.tenant.decode()] == "archive"
        number = headers["x-number"]
        assert number not in self.ran
        self.ran[number] = True
        await asyncio.sleep(self.random.random() / 200)
        fields = [f"x-id: {number}"] if self.dialect.is_foreign else []
        writer.write(encode_answer(b"", *fields))

    async def release(self):
        for _ in range(RELEASES):
            if self.random.random() < 0.5:
                position = 7 + len(self.releases)
                kept = self.random.sample(SOMETIMES, self.random.randrange(3))
                table = RouteTable(position, (ROUTE,))
                self.releases.append(
                    Snapshot(position, table, directory(*kept))
                )
            name = self.random.choice("ab")
            if self.held[name] + 1 < len(self.releases):
                self.held[name] += 1
                release = self.releases[self.held[name]]
                self.mesh.nodes[name].node.install(release)
            await asyncio.sleep(self.random.random() / 100)

    async def ask_later(self, number):
        await asyncio.sleep(self.random.random() / 4)
        key = self.random.choice([ALWAYS, ALWAYS, NEVER, *SOMETIMES])
        return await self.ask(number, key, self.random.choice("ab"))

    async def ask(self, number, key, entry):
        client = await self.mesh.client(entry)
        reply = await client.request(
            "POST",
            "/a",
            b"x",
            f"{self.dialect.request_id.decode()}: {number}",
            f"{self.dialect.credential.decode()}: {key}",
            f"x-number: {number}",
        )
        return key, reply.status, f"{number}" in self.ran


@pytest.mark.parametrize("dialect", [FOREIGN, NATIVE_DIALECT])
@pytest.mark.parametrize("seed", range(6))
def test_random_releases_and_requests(dialect, seed):
    """Guard against what no single case shows.

    No request runs whose key was in no release; none is refused as
    unknown whose key is in all of them; none that is refused as not run
    has run.
    """

    async def main():
        play = Play(dialect, seed)
        await play.start()
        ended = await asyncio.gather(
            *map(play.ask_later, range(REQUESTS)), play.release()
        )
        results = ended[:-1]
        assert {200, 503} <= {status for _, status, _ in results}
        assert all(
            has_run == (status == 200) for _, status, has_run in results
        )
        assert not any(has_run for key, _, has_run in results if key == NEVER)
        assert 401 not in [s for key, s, _ in results if key == ALWAYS]
        play.catch_up()
        for number, entry in enumerate("ab", REQUESTS):
            assert await play.ask(number, NEVER, entry) == (NEVER, 401, False)
            known = await play.ask(number + 2, ALWAYS, entry)
            assert known == (ALWAYS, 200, True)
        await play.mesh.close()

    run(main())

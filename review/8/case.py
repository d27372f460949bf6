"""The keys of the last tenants are taken away from connected clients.

Version 1 has two tenants with one key each.  Version 2 takes both away:
its ``Tenants`` is an empty list.  From ``ConfigPropagationS`` after the
acknowledgement on, no request with a key may run.  With ``TROUBLE=0``
version 2 changes a time-out in place of the keys.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "6" / "lib"))

import fleet as stand  # noqa: E402

SERVICE = "huvo11a"
KEYS = {"orchard": "k-5e1b77c0a9", "harbour": "k-91d3f02b6e"}
FOREIGN_KEY = "k-never-held-by-any-version"
PATH = "/lohu930/2f"
MARGIN_SECONDS = 1.0
ROUNDS = 4


def document(
    version: int, keys: dict[str, str], timeout: float
) -> dict[str, object]:
    """Return a configuration whose tenants hold ``keys``."""
    tenants = [
        {"Name": name, "ApiKeys": [key], "RatePerS": 0, "Burst": 0}
        for name, key in keys.items()
    ]
    rules = [
        stand.rule("r-zji9n73", "/lohu930/", SERVICE, timeout_seconds=timeout)
    ]
    return stand.configuration(version, rules, [SERVICE], Tenants=tenants)


async def ask_everywhere(
    fleet: stand.Fleet, key: str, tenant: str = ""
) -> tuple[list[str], list[int]]:
    """Send a request with a key at each node.

    Return the ids and the statuses.
    """
    headers = {"Credential": key}
    if tenant:
        headers["Tenant-Name"] = tenant
    results = await asyncio.gather(
        *(
            fleet.request(node, "GET", PATH, headers=headers)
            for node in fleet.nodes
        )
    )
    return [one[0] for one in results], [one[1].status for one in results]


async def main(fleet: stand.Fleet) -> int:
    """Run the case."""
    await fleet.start()
    if await fleet.put_configuration(document(1, KEYS, 3.0), 0) != 200:
        raise stand.CouldNotRunError("version 1 was not acknowledged")
    await fleet.wait_ready()
    await asyncio.sleep(fleet.bounds["ConfigPropagationS"] + MARGIN_SECONDS)
    for tenant, key in KEYS.items():
        _, statuses = await ask_everywhere(fleet, key)
        fleet.record.write(f"key of {tenant}: {statuses}")
        if statuses.count(200) < len(statuses) - 1:
            raise stand.CouldNotRunError("keys in force are not served")
    before, statuses = await ask_everywhere(fleet, FOREIGN_KEY, "orchard")
    fleet.record.write(f"foreign key under version 1: {statuses}")
    trouble = stand.has_trouble()
    second = document(2, {}, 3.0) if trouble else document(2, KEYS, 2.0)
    if await fleet.put_configuration(second, 1) != 200:
        raise stand.CouldNotRunError("version 2 was not acknowledged")
    await asyncio.sleep(fleet.bounds["ConfigPropagationS"] + MARGIN_SECONDS)
    foreign, dropped = list(before), []
    for _ in range(ROUNDS):
        ids, statuses = await ask_everywhere(fleet, FOREIGN_KEY, "orchard")
        foreign += ids
        fleet.record.write(f"foreign key under version 2: {statuses}")
        if trouble:
            for tenant, key in KEYS.items():
                ids, statuses = await ask_everywhere(fleet, key)
                dropped += ids
                fleet.record.write(f"key taken from {tenant}: {statuses}")
    runs = {run["begin"]: run for run in fleet.runs() if "begin" in run}
    for request_id in (*foreign, *dropped):
        if request_id in runs:
            run = runs[request_id]
            fleet.record.write(
                f"target {run['target']} ran {request_id}: Tenant-Name"
                f" {run['tenant']!r}, Credential {run['credential']!r}"
            )
    wrong = sum(one in runs for one in foreign)
    stale = sum(one in runs for one in dropped)
    passed = sum(1 for run in runs.values() if run["credential"])
    fleet.record.write(
        f"ran with a key that no version ever held: {wrong} of"
        f" {len(foreign)}; with a dropped key, sent over"
        f" {fleet.bounds['ConfigPropagationS']} s after the acknowledgement:"
        f" {stale} of {len(dropped)}; keys passed on to targets: {passed}"
    )
    return stand.BROKEN if wrong or stale or passed else stand.HELD


if __name__ == "__main__":
    sys.exit(
        stand.run_case(
            HERE,
            main,
            services=[SERVICE],
            contracts=(
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "tenants",
                "quota",
            ),
            bounds={
                "QuotaWindowS": 5,
                "QuotaOvershoot": 0.1,
                "QuotaSlack": 20,
                "RevocationStrict": False,
                "RevocationS": 5,
            },
        )
    )

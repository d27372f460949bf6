"""A configuration change adds a route below a path that is in use.

Version 1 sends ``/lohu930/`` to one service.  Version 2 adds a route
``/lohu930/2f/`` to another service.  That prefix does not begin the
path ``/lohu930/2f``, so requests for it belong to the first service
under either version.  With ``TROUBLE=0`` version 2 adds a route
elsewhere.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "6" / "lib"))

import fleet as stand  # noqa: E402

OLD_SERVICE = "huvo11a"
NEW_SERVICE = "wuno96b"
PREFIX = "/lohu930/"
PATH = "/lohu930/2f"
ADDED_PREFIX = "/lohu930/2f/"
OTHER_PREFIX = "/zoku17/2f/"
ROUNDS = 4
MARGIN_SECONDS = 1.0


async def ask_everywhere(fleet: stand.Fleet) -> list[str]:
    """Send a request for the path at each node; return the ids."""
    results = await asyncio.gather(
        *(fleet.request(node, "GET", PATH) for node in fleet.nodes)
    )
    return [request_id for request_id, _ in results]


def services_of(fleet: stand.Fleet, ids: list[str]) -> dict[str, list[str]]:
    """Return the ids that the targets of each service have run."""
    services = {node.target_id: node.service for node in fleet.nodes}
    ran: dict[str, list[str]] = {OLD_SERVICE: [], NEW_SERVICE: []}
    for run in fleet.runs():
        if run.get("begin") in ids:
            ran[services[run["target"]]].append(run["begin"])
    return ran


async def main(fleet: stand.Fleet) -> int:
    """Run the case."""
    await fleet.start()
    old = stand.rule("r-zji9n73", PREFIX, OLD_SERVICE)
    prefix = ADDED_PREFIX if stand.has_trouble() else OTHER_PREFIX
    new = stand.rule("r-hh2b9wu", prefix, NEW_SERVICE)
    clusters = [OLD_SERVICE, NEW_SERVICE]
    one = stand.configuration(1, [old], clusters)
    two = stand.configuration(2, [old, new], clusters)
    if await fleet.put_configuration(one, 0) != 200:
        raise stand.CouldNotRunError("version 1 was not acknowledged")
    await fleet.wait_ready()
    await asyncio.sleep(fleet.bounds["ConfigPropagationS"] + MARGIN_SECONDS)
    before = services_of(fleet, await ask_everywhere(fleet))
    counts = {name: len(ids) for name, ids in before.items()}
    fleet.record.write(f"under version 1, {PATH} was run by: {counts}")
    if not before[OLD_SERVICE]:
        raise stand.CouldNotRunError("version 1 is not served")
    if await fleet.put_configuration(two, 1) != 200:
        raise stand.CouldNotRunError("version 2 was not acknowledged")
    await asyncio.sleep(fleet.bounds["ConfigPropagationS"] + MARGIN_SECONDS)
    ids: list[str] = []
    for _ in range(ROUNDS):
        ids += await ask_everywhere(fleet)
    after = services_of(fleet, ids)
    for request_id in after[NEW_SERVICE]:
        fleet.record.write(f"a target of {NEW_SERVICE} ran {request_id}")
    counts = {name: len(found) for name, found in after.items()}
    fleet.record.write(
        f"under version 2 with {prefix}, {PATH} was run by: {counts}, of"
        f" {len(ids)} requests"
    )
    wrong = len(before[NEW_SERVICE]) + len(after[NEW_SERVICE])
    return stand.BROKEN if wrong else stand.HELD


if __name__ == "__main__":
    sys.exit(
        stand.run_case(
            HERE,
            main,
            services=[OLD_SERVICE, NEW_SERVICE],
            nodes_per_zone=1,
        )
    )

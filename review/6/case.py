"""A configuration change adds a listener for a host with its port.

Version 1 serves one host. Version 2 adds a listener for the same host
with its port, whose rule has the same path prefix. Every condition for
a valid configuration holds. The platform starts each process that ends
by itself again after a short delay. With ``TROUBLE=0`` version 2 adds a
listener for another host instead.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE / "lib"))

import fleet as stand  # noqa: E402

SERVICE = "huvo11a"
PREFIX = "/lohu930/"
ADDED_HOST = f"{stand.HOST}:80"
OTHER_HOST = "zoku17.example"
CALM_SECONDS = 3.0
WATCH_SECONDS = 20.0
RESTART_DELAY_SECONDS = 0.5
POLL_SECONDS = 0.05
PAUSE_SECONDS = 0.2
# Fault: three times in the day on a tenth of the machines, or two.
ENDS = 3
LEAST_MACHINES = 2


async def supervise(fleet: stand.Fleet, ends: Counter[str]) -> None:
    """Start a process again that has ended by itself, and count it."""
    while True:
        for machine in fleet.machines.values():
            process = machine.process
            if process is None or process.returncode is None:
                continue
            ends[machine.name] += 1
            fleet.record.write(
                f"the process of {machine.name} ended by itself with code"
                f" {process.returncode}"
            )
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            await fleet.start_process(machine)
        await asyncio.sleep(POLL_SECONDS)


async def ask(
    fleet: stand.Fleet, node: stand.Machine, seen: Counter[str]
) -> None:
    """Send requests on the route of version 1, one after another."""
    number = 0
    while True:
        number += 1
        _, answer = await fleet.request(
            node, "GET", f"{PREFIX}{node.name}-{number}"
        )
        seen[str(answer.status or answer.cause)] += 1
        await asyncio.sleep(PAUSE_SECONDS)


async def main(fleet: stand.Fleet) -> int:
    """Run the case."""
    await fleet.start()
    first = stand.rule("r-zji9n73", PREFIX, SERVICE)
    second = stand.rule("r-hh2b9wu", PREFIX, SERVICE)
    one = stand.configuration(1, [first], [SERVICE])
    two = stand.configuration(2, [first], [SERVICE])
    host = ADDED_HOST if stand.has_trouble() else OTHER_HOST
    two["Listeners"].append({"Host": host, "RuleTables": [second]})
    if await fleet.put_configuration(one, 0) != 200:
        raise stand.CouldNotRunError("version 1 was not acknowledged")
    await fleet.wait_ready()
    await asyncio.sleep(fleet.bounds["ConfigPropagationS"] + 1)
    ends: Counter[str] = Counter()
    before: Counter[str] = Counter()
    asking = [
        asyncio.create_task(ask(fleet, node, before)) for node in fleet.nodes
    ]
    supervisor = asyncio.create_task(supervise(fleet, ends))
    await asyncio.sleep(CALM_SECONDS)
    await _end(asking)
    fleet.record.write(f"before version 2: {dict(before)}")
    if ends or before["200"] < before.total() - 2:
        raise stand.CouldNotRunError("version 1 is not served")
    fleet.record.write(f"version 2 adds a listener for {host}")
    status = await fleet.put_configuration(two, 1)
    after: Counter[str] = Counter()
    asking = [
        asyncio.create_task(ask(fleet, node, after)) for node in fleet.nodes
    ]
    await asyncio.sleep(WATCH_SECONDS)
    await _end([*asking, supervisor])
    broken = [name for name, count in ends.items() if count >= ENDS]
    limit = max(LEAST_MACHINES, len(fleet.machines) / 10)
    fleet.record.write(
        f"version 2 was answered with {status}; requests sent after it:"
        f" {dict(after)}"
    )
    fleet.record.write(
        f"processes that ended by themselves: {dict(ends)};"
        f" {ENDS} times or more on {len(broken)} machines, allowed on fewer"
        f" than {limit:.1f}"
    )
    return stand.BROKEN if len(broken) >= limit else stand.HELD


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    sys.exit(stand.run_case(HERE, main, services=[SERVICE]))

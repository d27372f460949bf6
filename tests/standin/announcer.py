"""Announcements of an upstream to the node beside it."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import httpcore

if TYPE_CHECKING:
    from tests.standin.upstream import Upstream

LEASE_SECONDS = 3.0


class Announcer:
    """Renew an upstream's lease three times in its length."""

    def __init__(self, admin_url: str, upstream: Upstream) -> None:
        self._url = admin_url.rstrip("/") + "/v1/announcements"
        self._upstream = upstream
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._renew())

    async def leave(self) -> None:
        """Stop the renewals and announce that the upstream leaves.

        If the announcement fails, the lease expires without it.
        """
        if self._task is not None:
            self._task.cancel()
        async with httpcore.AsyncConnectionPool() as pool:
            await self._post(pool, "leaving")

    async def _renew(self) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self._post(pool, "up")
                await asyncio.sleep(LEASE_SECONDS / 3)

    async def _post(
        self, pool: httpcore.AsyncConnectionPool, state: str
    ) -> None:
        settings = self._upstream.settings
        document = {
            "name": settings.name,
            "service": settings.service,
            "host": "127.0.0.1",
            "port": self._upstream.port,
            "slots": settings.slots,
            "connections": settings.connections,
            "state": state,
            "lease_seconds": LEASE_SECONDS,
            "load": self._upstream.delayed_load(),
        }
        body = json.dumps(document).encode()
        headers = {"content-type": "application/json"}
        try:
            answer = await pool.request(
                "POST", self._url, headers=headers, content=body
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            print(f"announcement failed error={type(error).__name__}")
            return
        if answer.status >= 300:
            print(f"announcement refused status={answer.status}")

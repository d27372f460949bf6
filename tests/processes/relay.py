"""A TCP relay that simulates network partitions."""

from __future__ import annotations

import asyncio
import contextlib
import threading


class CutRelay:
    """Relay connections to one port, unless it is cut.

    While it is cut, new connections are accepted and no connection
    carries data, as behind a firewall that drops packets.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._is_cut = False
        self._loop = asyncio.new_event_loop()
        self._changed: asyncio.Event
        self._started = threading.Event()
        self.port = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()

    def cut(self):
        """Stop carrying data without closing any connection."""
        self._set(is_cut=True)

    def heal(self):
        """Carry data again, including what arrived during the cut."""
        self._set(is_cut=False)

    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _set(self, *, is_cut):
        def change():
            self._is_cut = is_cut
            self._changed.set()
            self._changed = asyncio.Event()

        self._loop.call_soon_threadsafe(change)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen())
        self._started.set()
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()

    async def _listen(self):
        self._changed = asyncio.Event()
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        try:
            await self._wait_while_cut()
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer)),
            asyncio.create_task(self._pump(target_reader, writer)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        for stream in (writer, target_writer):
            stream.close()

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._wait_while_cut()
                writer.write(data)
                await writer.drain()

    async def _wait_while_cut(self):
        while self._is_cut:
            await self._changed.wait()

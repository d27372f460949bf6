"""A proxy built on uvicorn and httpcore, as a baseline."""

from __future__ import annotations

import sys
from typing import Any

import httpcore

from bench.upstream import serve


class LibraryProxy:
    """Forward each call over an httpcore connection pool."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._pool = httpcore.AsyncConnectionPool(max_connections=110)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        """Forward one call and stream its response."""
        if scope["type"] != "http":
            return
        message = await receive()
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        url = httpcore.URL(
            scheme=b"http", host=b"127.0.0.1", port=self._port, target=target
        )
        async with self._pool.stream(
            scope["method"],
            url,
            headers=scope["headers"],
            content=message.get("body", b""),
        ) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": response.headers,
                }
            )
            async for chunk in response.aiter_stream():
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})


if __name__ == "__main__":
    serve(LibraryProxy(int(sys.argv[1])), 0)

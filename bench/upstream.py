"""The benchmark's upstream: uvicorn on uvloop with httptools."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any

import uvicorn

BODY = b'{"meter":1234,"status":"on the bench","since":"2026-01-01"}'
HEADERS = [
    (b"content-type", b"application/json"),
    (b"content-length", b"%d" % len(BODY)),
]
# A node keeps its connection to an upstream that repeats this field.
IS_REPEATING = os.environ.get("BENCH_UPSTREAM_REPEATS") != "0"
REPEATED_FIELDS = (b"rhubarbhollow-attempt",) if IS_REPEATING else ()


async def answer(scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
    """Answer each call with the same small document."""
    if scope["type"] != "http":
        return
    await receive()
    headers = HEADERS + [
        field for field in scope["headers"] if field[0] in REPEATED_FIELDS
    ]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": BODY})


def serve(application: Any, port: int) -> None:  # noqa: ANN401
    """Bind a port, print it and serve an ASGI application on it."""
    config = uvicorn.Config(
        application,
        port=port,
        loop="uvloop",
        http="httptools",
        lifespan="off",
        access_log=False,
        log_level="error",
        timeout_keep_alive=60,
    )
    socket = config.bind_socket()
    print(f"port={socket.getsockname()[1]}", flush=True)
    server = uvicorn.Server(config)
    asyncio.run(server.serve([socket]))


if __name__ == "__main__":
    serve(answer, int(sys.argv[1]) if len(sys.argv) > 1 else 0)

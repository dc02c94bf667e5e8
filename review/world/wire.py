"""HTTP/1.1 with JSON bodies over asyncio streams: a small server and a client."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


class Request(NamedTuple):
    """A request: method, path without the query, query, and body."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """The decoded body."""
        return json.loads(self.body)


class Reply(NamedTuple):
    """The status and the JSON body of a response, decoded or not, and its headers."""

    status: int
    body: Any = None
    headers: dict[str, str] | None = None


# Answers a request; None closes the connection without an answer.
Handler = Callable[[Request], Awaitable[Reply | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    # Cancelled when the case ends.
    with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        while True:
            first, headers = await _read_head(reader)
            method, target, _ = first.split(" ", 2)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            parts = urlsplit(target)
            query = {key: values[0] for key, values in parse_qs(parts.query).items()}
            reply = await handler(Request(method, parts.path, query, body))
            if reply is None:
                break
            data = reply.body
            if not isinstance(data, bytes):
                data = json.dumps({} if data is None else data).encode()
            writer.write(f"HTTP/1.1 {reply.status} x\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            if headers.get("connection", "").lower() == "close":
                break
    writer.close()


async def serve(handler: Handler) -> tuple[asyncio.Server, str]:
    """Serves requests on a free port of the loopback address. Returns the server and its address."""
    server = await asyncio.start_server(
        lambda reader, writer: _serve_connection(handler, reader, writer), HOST, 0, backlog=512
    )
    return server, f"{HOST}:{server.sockets[0].getsockname()[1]}"


async def _exchange(address: str, method: str, path: str, data: bytes) -> Reply:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
        await writer.drain()
        first, headers = await _read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    finally:
        writer.close()
    return Reply(int(first.split(" ")[1]), json.loads(body) if body else None, headers)


async def call(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
) -> Reply | None:
    """Sends one request. Returns None if no response came in time or the connection failed."""
    data = b"" if body is None else json.dumps(body).encode()
    try:
        return await asyncio.wait_for(_exchange(address, method, path, data), timeout_s)
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        return None

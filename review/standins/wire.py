"""A small HTTP/1.1 server and client with JSON bodies, on the standard library alone."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 0.5

# An HTTP status and a body that is encoded as JSON.
Reply = tuple[int, Any]
# Takes method, path, query and decoded body. None as the reply: the connection is closed unanswered.
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Reply | None]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the first line, the headers and the body of a message; None at the end of the stream."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode("latin-1").strip(), headers, body


def _parse(body: bytes) -> Any:
    try:
        return json.loads(body) if body else None
    except ValueError:
        return None


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while (message := await _read_message(reader)) is not None:
            first, headers, body = message
            method, target, _ = first.split(" ", 2)
            url = urlsplit(target)
            answer = await handler(method, url.path, dict(parse_qsl(url.query)), _parse(body))
            if answer is None:
                return
            encoded = json.dumps(answer[1]).encode()
            head = f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(encoded)}\r\n\r\n".encode() + encoded)
            await writer.drain()
            if headers.get("connection", "").lower() == "close":
                return
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        return
    finally:
        writer.close()


async def listen(handler: Handler) -> str:
    """Serves requests on a free port of the loopback interface, and returns the address."""
    server = await asyncio.start_server(
        lambda reader, writer: _serve_connection(handler, reader, writer), HOST, 0, backlog=256
    )
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


async def _exchange(address: str, method: str, path: str, body: Any) -> Reply:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S)
    try:
        encoded = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        writer.write(f"{head}Content-Length: {len(encoded)}\r\n\r\n".encode() + encoded)
        await writer.drain()
        message = await _read_message(reader)
        if message is None:
            raise ConnectionResetError("closed without a response")
        return int(message[0].split(" ")[1]), _parse(message[2])
    finally:
        writer.close()


async def request(address: str, method: str, path: str, body: Any, timeout_s: float) -> Reply | None:
    """Sends one request over a connection of its own; returns the response, or None if none came in time."""
    try:
        return await asyncio.wait_for(_exchange(address, method, path, body), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None

"""The part of HTTP/1.1 that the stand-ins speak, over asyncio streams."""

import asyncio


async def read_head(reader):
    """Returns (first line, {lower-case name: value}) of a message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", 0)))


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Closes a connection with a TCP reset."""
    if writer.transport is not None:
        writer.transport.abort()

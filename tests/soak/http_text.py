"""The little of HTTP/1.1 that the soak's stand-ins and callers speak over asyncio streams."""

import asyncio


async def read_head(reader):
    """(first line, {lower-case name: value}) of a message; None at an orderly end."""
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
    """The body as its length or chunks tell; without either there is none."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


def message(first, fields, body=b""):
    head = [first] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Ends a connection by a reset."""
    writer.transport.abort()

"""Stand-in of the platform's metadata store: ranges and watches over one revision counter, as PROTOCOL.md says."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from http_messages import message, read_body, read_head, reset

PAGE = 500  # items of one kv-range reply


class Store:
    def __init__(self, address, record):
        self.address, self.record = address, record  # address: (IP, port)
        self.items, self.events = {}, []  # key: (value, revision); (revision, key, value or None)
        self.revision = 1
        self.changed = asyncio.Condition()
        self.watches = set()  # writers of watches that are waiting
        self.cut_next = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        return self

    async def put(self, key, value):
        """Sets a value, or removes the key if it is None. The change is acknowledged when this returns."""
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, self.revision)
            self.events.append((self.revision, key, value))
            self.changed.notify_all()

    @staticmethod
    def item(key, value, revision):
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "createRevision": revision, "lease": 0}

    def range(self, prefix, after):
        keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
        return {"items": [self.item(it, *self.items[it]) for it in keys[:PAGE]], "morePages": len(keys) > PAGE,
                "asOf": self.revision}

    async def watch(self, prefix, after, wait_s, writer):
        """Waits for events after a revision. Returns None when the watch was cut meanwhile."""
        def found():
            return [it for it in self.events if it[0] > after and it[1].startswith(prefix)]
        self.watches.add(writer)
        try:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: found() or writer.is_closing()), wait_s)
                except asyncio.TimeoutError:
                    pass
                if writer.is_closing():
                    return None
                return {"events": [self.item(key, value, it) for it, key, value in found()], "asOf": self.revision}
        finally:
            self.watches.discard(writer)

    async def cut_watches(self):
        """Closes the connections of the watches that are waiting, without an answer. Returns how many."""
        async with self.changed:
            cut = len(self.watches)
            for it in list(self.watches):
                it.close()
            self.changed.notify_all()
        return cut

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                await read_body(reader, head[1])
                if not await self.answer(head[0].split(" ")[1], head[1], writer):
                    break
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            reset(writer)

    async def answer(self, target, fields, writer):
        url = urlsplit(target)
        query = {key: it[0] for key, it in parse_qs(url.query, keep_blank_values=True).items()}
        status, body = "200 OK", None
        if url.path == "/-/kv-range":
            body = self.range(query["prefix"], query.get("after", ""))
        elif url.path == "/-/kv-watch":
            body = await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000, writer)
            if body is None:
                return False
        elif url.path == "/-/kv-key" and query["key"] in self.items:
            body = {**self.item(query["key"], *self.items[query["key"]]), "asOf": self.revision}
        else:
            status, body = "404 Not Found", {}
        writer.write(message(f"HTTP/1.1 {status}", {"Content-Type": "application/json"}, json.dumps(body).encode()))
        await writer.drain()
        return fields.get("connection", "").lower() != "close"

"""The subset of the platform's metadata store that nodes use: ranges and watches, with injected faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_text import message, read_head, reset

HEALTHY, UNAVAILABLE, RATE_LIMITED, RESET, SILENT = "well", "busy", "many", "reset", "silent"
STATUS = {UNAVAILABLE: "503 Service Unavailable", RATE_LIMITED: "429 Too Many Requests"}
PAGE = 500


class Store:
    def __init__(self, port):
        self.port = port
        self.items, self.events = {}, []  # key: (value, revision); (revision, key, value or None)
        self.revision, self.oldest = 1, 0
        self.behaviour, self.disturbed_at = HEALTHY, 0.0
        self.calls, self.watching, self.cut_at = 0, set(), 0.0
        self.changed = asyncio.Condition()
        self.era, self.names_new_era, self.away = 1, True, False
        self.copy = None  # items, revision, events and oldest revision at the time of a copy
        self.lost = []    # changes since the copy
        self.written = set()  # keys that were changed since the store is back from the copy, by a first write

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    def set_behaviour(self, behaviour):
        self.behaviour, self.disturbed_at = behaviour, time.monotonic()

    def drop_history(self):
        self.events, self.oldest, self.disturbed_at = [], self.revision, time.monotonic()

    def cut_watches(self, bound):
        """Resets the watches in progress. One cut is no outage; it is one if another came less than `bound` s ago."""
        now = time.monotonic()
        if now < self.cut_at + bound:
            self.disturbed_at = now
        self.cut_at = now
        for it in list(self.watching):
            reset(it)

    def take_copy(self):
        self.copy, self.lost = (dict(self.items), self.revision, list(self.events), self.oldest), []

    def go_away(self):
        self.away, self.disturbed_at = True, time.monotonic()
        for it in list(self.watching):
            reset(it)

    async def come_back(self):
        """Returns with the copy, in a new era. Returns the changes that are lost, as pairs of key and value."""
        async with self.changed:
            self.items, self.revision, self.events, self.oldest = self.copy
            self.era += self.names_new_era
            self.away, self.disturbed_at = False, time.monotonic()
            self.written = set()
            lost, self.lost = self.lost, []
            self.changed.notify_all()
            return lost

    async def put(self, key, value, again=False):
        """Sets a value, or removes the key if it is None; the change is stored when this returns. Waits while the store
        is away. `again`: the change was lost."""
        while self.away:
            await asyncio.sleep(0.01)
        async with self.changed:
            self.lost.append((key, value))
            if not again:
                self.written.add(key)
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
        return {"key": key, "revision": revision, "value": base64.b64encode(value).decode(), "lease": 0}

    def range(self, prefix, after):
        keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
        return {"items": [self.item(it, *self.items[it]) for it in keys[:PAGE]], "morePages": len(keys) > PAGE,
                "asOf": self.revision}

    async def watch(self, after, wait):
        """Waits for events after a revision; returns None if the history no longer contains it."""
        until = time.monotonic() + wait
        async with self.changed:
            era = self.era
            while self.behaviour == HEALTHY and not self.away and self.revision <= after and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
                except asyncio.TimeoutError:
                    pass
            if after < self.oldest or after > self.revision or era != self.era:
                return None
            return {"events": [self.item(key, value, it) for it, key, value in self.events if it > after],
                    "asOf": self.revision}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                if not await self.answer(head[0].split(" ")[1], writer):
                    break
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            reset(writer)

    async def answer(self, target, writer):
        self.calls += 1
        url = urlsplit(target)
        query = {key: it[0] for key, it in parse_qs(url.query, keep_blank_values=True).items()}
        body, status = None, "200 OK"
        if self.behaviour == HEALTHY and not self.away:
            if url.path == "/-/kv-range":
                body = self.range(query["prefix"], query.get("after", ""))
            else:
                self.watching.add(writer)
                body = await self.watch(int(query["after"]), int(query["waitMs"]) / 1000)
                self.watching.discard(writer)
                status = "200 OK" if body else "410 Gone"
        if self.behaviour == RESET or self.away:
            reset(writer)
            return False
        if self.behaviour == SILENT:
            await asyncio.sleep(60)
            return False
        if self.behaviour in STATUS:
            body, status = None, STATUS[self.behaviour]
        writer.write(message(f"HTTP/1.1 {status}", {"Content-Type": "application/json", "Store-Era": self.era},
                             json.dumps(body or {}).encode()))
        await writer.drain()
        return True

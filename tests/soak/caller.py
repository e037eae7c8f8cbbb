"""Callers: each keeps its connection to one node for as long as that serves it, as clients do."""

import asyncio
import time

from http_text import message, read_body, read_head, reset

DEADLINE_MS = 1000
TAKE_S = 4  # for an answer, far above any deadline: a longer silence is a failure of its own


class Caller:
    def __init__(self, soak, number):
        self.soak, self.number, self.sent = soak, number, 0
        self.reader = self.writer = self.node = None

    async def run(self):
        while not self.soak.over:
            await asyncio.sleep(self.soak.draw.expovariate(self.soak.rate_each))
            await self.call()
        self.leave()

    def leave(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def connect(self):
        self.node = self.soak.pick_node()
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.node.front), 1)
        except (OSError, asyncio.TimeoutError):
            self.writer = None
        return self.writer is not None

    async def call(self):
        if self.writer is None and not await self.connect():
            self.soak.record.counts["no connection"] += 1
            return
        draw, record = self.soak.draw, self.soak.record
        service, method, idempotent = draw.choice(self.soak.kinds)
        self.sent += 1
        request = f"{self.number:03}-{self.sent:05}"
        body = b"" if method == "GET" else draw.randbytes(draw.randint(0, 3000)).hex().encode()
        target = f"/{service}/{draw.randint(0, 99)}"
        sent = time.monotonic()
        record.sent[request] = (sent, self.node, service, idempotent, target, body)
        fields = {"Host": "a.example", "X-Request-Id": request, "X-Deadline-Ms": str(DEADLINE_MS)}
        patience = draw.uniform(0.02, 0.3) if draw.random() < self.soak.leave_share else TAKE_S
        try:
            self.writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
            await asyncio.wait_for(self.take(request), patience)
        except asyncio.TimeoutError:
            reset(self.writer)
            self.writer = None
            if patience < TAKE_S:
                record.counts["left"] += 1
            elif self.soak.calm(self.node, sent):
                record.fail("held", f"{request} had no answer after {TAKE_S} s from {self.node.name}")
        except (OSError, asyncio.IncompleteReadError):
            self.cut(request, sent)
        self.late(request, sent)

    async def take(self, request):
        head = await read_head(self.reader)
        if head is None:
            raise asyncio.IncompleteReadError(b"", None)
        body = await read_body(self.reader, head[1])
        self.soak.record.answered(request, int(head[0].split(" ")[1]), head[1], body)
        if head[1].get("connection", "").lower() == "close":
            self.leave()

    def cut(self, request, sent):
        """A connection that ended without an answer, though the node passed its request on and nothing was wrong."""
        record, node = self.soak.record, self.node
        record.counts["cut"] += 1
        self.leave()
        if record.runs[request] and self.soak.calm(node, sent, planned=True):
            record.fail("lost", f"{request} ran and was cut by {node.name}")

    def late(self, request, sent):
        took = time.monotonic() - sent
        if request in self.soak.record.answers and took > DEADLINE_MS / 1000 + 0.5 and self.soak.calm(self.node, sent):
            self.soak.record.fail("late", f"{request} was answered after {took:.2f} s by {self.node.name}")

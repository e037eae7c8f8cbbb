"""A worker of the platform: runs requests in slots, tells its load, and fails in the ways that workers fail."""

import asyncio
import json
import time

from http_text import message, read_body, read_head, reset

WELL, SLOW, MUTE, ERRORS, LOSES, GARBLES, SHEDS = "well", "slow", "mute", "errors", "loses", "garbles", "sheds"
SLOW_FACTOR = 7
QUEUE = 6


class Worker:
    """One incarnation. `ledger` hears of each run: ledger(request id, worker, method, target, body)."""

    def __init__(self, name, service, port, registered_port, slots, work, draw, ledger, broken=""):
        self.name, self.service, self.port, self.registered_port = name, service, port, registered_port
        self.broken = broken  # a promise that this stand-in breaks, to show that the soak notices
        self.slots, self.work, self.draw, self.ledger = slots, work, draw, ledger
        self.mood, self.state, self.sequence = WELL, "ready", 0
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.registered_port}", "zone": "z1",
                           "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                           "seq": self.sequence, "born": self.born}).encode()

    async def end(self):
        self.server.close()
        for it in list(self.writers):
            reset(it)

    def load(self):
        pace = 100 * (SLOW_FACTOR if self.mood == SLOW else 1)
        return {"X-Server-Load": f"{self.running},{self.waiting},{self.slots},{pace}", "Keep-Alive": "timeout=10"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                if not await self.answer(head, body, reader, writer):
                    break
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reset(writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, head, body, reader, writer):
        method, target, _ = head[0].split(" ")
        fields = head[1]
        request = fields.get("x-request-id", "")
        if target == "/health":
            writer.write(message("HTTP/1.1 200 OK", {"X-Instance-Id": self.name, **self.load()}))
            return True
        expected = fields.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {"X-Request-Id": request,
                                                                      "X-Instance-Id": self.name}))
            return True
        if self.waiting >= QUEUE or (self.mood == SHEDS and self.draw.random() < 0.5):
            writer.write(message("HTTP/1.1 503 Service Unavailable", {"X-Request-Id": request, "X-Not-Executed": "1",
                                                                      **self.load()}))
            return True
        if self.mood == MUTE:
            await asyncio.sleep(30)
            return False
        return await self.run(method, target, request, body, reader, writer)

    async def run(self, method, target, request, body, reader, writer):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if writer.is_closing() or reader.at_eof():
                return False  # its caller left while it waited
            seal = self.ledger(request, self, method, target, body)
            if self.broken == "twice":
                self.ledger(request, self, method, target, body)
            if self.broken == "refused":
                writer.write(message("HTTP/1.1 503 Service Unavailable", {"X-Request-Id": request,
                                                                          "X-Not-Executed": "1"}))
                return True
            await asyncio.sleep(self.work * self.draw.uniform(0.5, 1.5) * (SLOW_FACTOR if self.mood == SLOW else 1))
        finally:
            self.running -= 1
            self.free.release()
        if self.mood == LOSES and self.draw.random() < 0.3:
            reset(writer)
            return False
        failed = self.mood == ERRORS and self.draw.random() < 0.5
        text = b"" if failed else f"{request} {target} ".encode() + body
        text = text[:-1] if self.broken == "mixed" else text
        answer = message("HTTP/1.1 500 Internal Server Error" if failed else "HTTP/1.1 200 OK",
                         {"X-Request-Id": request, "X-Response-Seal": seal, **self.load()}, text)
        if self.mood == GARBLES and self.draw.random() < 0.3:
            writer.write(answer[:-3] if self.draw.random() < 0.5 else answer + answer)
            return False
        writer.write(answer)
        await writer.drain()
        return True

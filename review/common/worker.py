"""Stand-in of a worker: runs requests in slots, queues a few more, and sheds the others, as PROTOCOL.md says."""

import asyncio
import json
import time

from http_messages import message, read_body, read_head, reset

HEALTH_S = 0.001  # that a health check holds its slot


class Connection:
    """Bytes that a faulty worker still sends on a connection, where the next answer is expected."""

    def __init__(self):
        self.late = []


class Worker:
    def __init__(self, name, service, address, record, slots=2, queue=2, tells_load=False, work=None, born=None):
        self.name, self.service, self.address, self.record = name, service, address, record
        self.slots, self.queue, self.tells_load = slots, queue, tells_load
        self.work = work if work is not None else lambda fields: 0.05  # seconds of a request, by its header fields
        self.born = born if born is not None else int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.writers = set()
        self.spoil = lambda: False  # whether this answer is sent a second time, late
        self.sheds = lambda: False  # whether this request is rejected though there is room
        self.runs = []              # (time, request id) of each request that it began to work on
        self.arrivals = []          # (time, request id) of each request that reached it

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        return self

    def end(self):
        """Exits: all connections are gone."""
        self.server.close()
        for it in list(self.writers):
            reset(it)

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": "%s:%d" % self.address, "zone": "z1", "version": "v1",
                           "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
                           "born": self.born}).encode()

    def load(self):
        if not self.tells_load:
            return {}
        return {"X-Server-Load": f"{self.running},{self.waiting},{self.slots},100"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = Connection()
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                for it in connection.late:
                    self.record.write(f"{self.name} sends its earlier answer a second time: {it[:40]!r}")
                    writer.write(it)
                connection.late = []
                if not await self.answer(head, body, reader, writer, connection):
                    break
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            self.writers.discard(writer)

    def send(self, writer, connection, answer):
        writer.write(answer)
        if self.spoil():
            connection.late.append(answer)

    async def take_slot(self):
        """Waits for a slot. False when the queue is full too."""
        if self.running >= self.slots and self.waiting >= self.queue:
            return False
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def release_slot(self):
        self.running -= 1
        self.free.release()

    async def answer(self, head, body, reader, writer, connection):
        method, target, _ = head[0].split(" ")
        fields = head[1]
        request = fields.get("x-request-id")
        echo = {"X-Request-Id": request} if request else {}
        shed = message("HTTP/1.1 503 Service Unavailable", {**echo, "X-Not-Executed": "1", **self.load()})
        if target == "/health":
            return await self.answer_health(writer, connection, shed)
        if fields.get("x-expect-instance", self.name) != self.name:
            self.send(writer, connection, message("HTTP/1.1 421 Misdirected Request",
                                                  {**echo, "X-Instance-Id": self.name}))
            return True
        self.arrivals.append((time.monotonic(), request))
        until = time.monotonic() + int(fields.get("x-deadline-ms", "10000")) / 1000
        if self.sheds() or not await self.take_slot():
            self.record.write(f"{self.name} sheds {request}")
            self.send(writer, connection, shed)
            return True
        try:
            if reader.at_eof() or writer.is_closing():
                return False  # the sender has gone while the request was queued
            if time.monotonic() >= until:
                self.send(writer, connection, shed)
                return True
            self.runs.append((time.monotonic(), request))
            self.record.write(f"{self.name} runs {method} {target} {request}")
            work = self.work(fields)
            left = until - time.monotonic()
            await asyncio.sleep(min(work, left))
            if work > left:
                self.send(writer, connection, message("HTTP/1.1 504 Gateway Timeout", {**echo, **self.load()}))
                return True
        finally:
            self.release_slot()
        text = f"{request} {target} ".encode() + body
        self.send(writer, connection, message("HTTP/1.1 200 OK", {
            **echo, "X-Response-Seal": f"{self.name}.{request}", **self.load()}, text))
        await writer.drain()
        return True

    async def answer_health(self, writer, connection, shed):
        """A service that tells its load answers at once; others let the check wait for a slot, or reject it."""
        if not self.tells_load:
            if not await self.take_slot():
                self.send(writer, connection, shed)
                return True
            try:
                await asyncio.sleep(HEALTH_S)
            finally:
                self.release_slot()
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        self.send(writer, connection, message(f"HTTP/1.1 {status}", {"X-Instance-Id": self.name, **self.load()}))
        return True

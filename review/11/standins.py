"""Stand-ins for a small deployment: the platform's store, workers, clients, and the node's processes.

Everything listens on loopback addresses. The store and the workers run in this process; each node is a process of its
own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE = ROOT / "target" / "bin" / "damask-node"
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


taken = set()


def free_port():
    """Below the range from which the system takes the ports of outgoing connections."""
    while True:
        port = random.randint(15000, 32000)
        with socket.socket() as it:
            try:
                it.bind((HOST, port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began, self.broken = open(path, "w", encoding="utf-8"), time.monotonic(), []

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()

    def fail(self, text):
        self.broken.append(text)
        self.note("BROKEN  " + text)


async def read_head(reader):
    """Returns the first line and the fields by lower-case name, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def close_quietly(writer):
    """The loop may have ended before."""
    with contextlib.suppress(RuntimeError):
        writer.close()


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store as nodes use it: ranges and watches."""

    def __init__(self, record, history_s=20):
        self.record, self.history_s = record, history_s
        self.port = free_port()
        self.items, self.events = {}, []  # key: (value, revision); (time, revision, key, value or None)
        self.revision, self.oldest, self.era, self.up = 100, 0, 1, True
        self.changed, self.writers = asyncio.Condition(), set()
        self.delay = lambda path: 0.004

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def put(self, key, value):
        """Sets a key, or removes it if the value is None. Returns False while the store is away."""
        if not self.up:
            return False
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, self.revision)
            self.events.append((time.monotonic(), self.revision, key, value))
            self.changed.notify_all()
        return True

    async def go_away(self):
        self.up = False
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def come_back(self, copied_at):
        """Returns with the state that the store had at a time, in a new era. Returns the events that are lost."""
        kept = [it for it in self.events if it[0] <= copied_at]
        lost = self.events[len(kept):]
        self.events, self.revision, self.items = kept, kept[-1][1], {}
        for _, revision, key, value in kept:
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, revision)
        self.era += 1
        self.up = True
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        return lost

    @staticmethod
    def item(key, value, revision):
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "createRevision": revision, "lease": 0}

    def read_range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
        return {"items": [self.item(it, *self.items[it]) for it in keys[:500]], "morePages": len(keys) > 500,
                "asOf": self.revision}

    async def watch(self, query):
        """Events after a revision, or None if the store does not have that revision or its history."""
        prefix, after, era = query.get("prefix", ""), int(query["after"]), self.era
        until = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while True:
                if era != self.era or after > self.revision or after < self.oldest:
                    return None
                events = [self.item(key, value, it) for _, it, key, value in self.events
                          if it > after and key.startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "asOf": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                url = urlsplit(head[0].split(" ")[1])
                query = {key: it[0] for key, it in parse_qs(url.query, keep_blank_values=True).items()}
                await asyncio.sleep(self.delay(url.path))
                body = self.read_range(query) if url.path == "/-/kv-range" else await self.watch(query)
                first = "HTTP/1.1 200 OK" if body else "HTTP/1.1 410 Gone"
                writer.write(message(first, {"Content-Type": "application/json", "Store-Era": self.era},
                                     json.dumps(body or {}).encode()))
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            close_quietly(writer)


class Worker:
    """One worker: it runs requests in slots and reports its load."""

    def __init__(self, record, name, service, zone, work_s=0.02, slots=6):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.work_s, self.slots, self.state, self.sequence = work_s, slots, "ready", 0
        self.port, self.born = free_port(), int(time.time() * 1000)
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20)

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                           "seq": self.sequence, "born": self.born}).encode()

    def load(self):
        return {"X-Server-Load": f"{self.running},{self.waiting},{self.slots},100"}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                if not await self.answer(head, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            close_quietly(writer)

    async def answer(self, head, reader, writer):
        method, target, _ = head[0].split(" ")
        fields = head[1]
        if target == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(message(f"HTTP/1.1 {status}", {"X-Instance-Id": self.name, **self.load()}))
            return True
        request = fields.get("x-request-id", "")
        body = await read_body(reader, fields)
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {"X-Request-Id": request,
                                                                      "X-Instance-Id": self.name}))
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.record.note(f"run      {request} by {self.name} of {self.service}: {method} {target}")
            try:
                return await self.run(request, method, target, fields, body, reader, writer)
            finally:
                self.running -= 1

    async def run(self, request, method, target, fields, body, reader, writer):
        await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 200 OK", {"X-Request-Id": request, "X-Response-Seal": f"{self.name}.{request}",
                                                 "Keep-Alive": "timeout=10", **self.load()},
                             f"{request} {self.service}".encode()))
        return True


class Node:
    """One node process with settings in the form of the deploy file's template."""

    def __init__(self, name, zone, zones):
        self.name, self.zone, self.zones, self.process = name, zone, zones, None
        self.front, self.ready, self.operate, self.control = (free_port() for _ in range(4))

    def settings(self, store_port, seeds, accounts=False):
        zones = "\n".join(f"  {zone}:{region}" for zone, region in self.zones.items())
        limits = "window = 5 s\noverrun = 0.1\nslack = 20\n" if accounts else ""
        return f"""[instance]
name = {self.name}
data-centre = {self.zone}
data-centres =
{zones}

first-start = no
memory = 260
descriptors = 4100
link = 1000.0

[front]
endpoint = {HOST}:{self.front}
pipeline = 8

[ready]
endpoint = {HOST}:{self.ready}

[operate]
endpoint = {HOST}:{self.operate}

[store]
endpoint = {HOST}:{store_port}

[nodes]
endpoint = {HOST}:{self.control}
seeds = {",".join(seeds)}

[bounds]
configuration = 2000 ms
drain = 2000 ms

[accounts]
strict-revocation = no

[route]
come-back-room = 20 ms
retry-ratio = 0.2
retry-window = 10 s

[quota]
{limits}
[cold]

[stop]
grace = 6 s
"""

    def start(self, folder, store_port, seeds, **more):
        path = pathlib.Path(folder) / f"{self.name}.ini"
        path.write_text(self.settings(store_port, seeds, **more), encoding="utf-8")
        with open(pathlib.Path(folder) / f"{self.name}.log", "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([str(NODE), f"--settings={path}"], cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL,
                                            env={"DAMASKFLOW_BOOT": str(path), "PATH": os.environ.get("PATH", "")})

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Client:
    """One client connection to a node."""

    def __init__(self, record, port):
        self.record, self.port, self.reader, self.writer = record, port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    async def send(self, request, method, target, deadline_ms=1500, body=b"", fields=None):
        self.record.note(f"sent     {request} {method} {target} {len(body)} bytes")
        self.writer.write(message(f"{method} {target} HTTP/1.1",
                                  {"Host": "a.example", "X-Request-Id": request, "X-Deadline-Ms": deadline_ms,
                                   **(fields or {})}, body))
        await self.writer.drain()

    async def receive(self, request):
        """Returns status, fields and body; status 0 if the connection ended without a complete answer."""
        try:
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionError()
            body = await read_body(self.reader, head[1])
        except (OSError, asyncio.IncompleteReadError):
            self.record.note(f"cut      {request}")
            return 0, {}, b""
        status = int(head[0].split(" ")[1])
        self.record.note(f"answered {request} {status} {body[:60]!r}")
        return status, head[1], body


async def ask(record, port, request, method, target, timeout_s=3.0, **more):
    """One request on a connection of its own."""
    async def run():
        it = await Client(record, port).open()
        try:
            await it.send(request, method, target, **more)
            return await it.receive(request)
        finally:
            it.close()
    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        record.note(f"silent   {request}")
        return 0, {}, b""


def configuration(version, routes, services, tenants=None, limits=None):
    """`routes`: prefix to (kind, action)."""
    rules = [{"name": f"r-{prefix}", "kind": kind, "targetLatencyMs": 300, "priority": 1,
              "match": {"prefix": f"/{prefix}/"}, "action": {"timeoutMs": 1500, "maxAttempts": 2, **action}}
             for prefix, (kind, action) in routes.items()]
    out = {"version": f"{version:08x}",
           "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                      "idleTimeoutMs": 15000, **(limits or {})},
           "listeners": [{"host": "a.example", "ruleSet": rules}],
           "clusters": [{"name": it, "healthPath": "/health", "maxConns": 220, "protocol": "h1", "tls": False}
                        for it in services]}
    if tenants is not None:
        out["tenants"] = tenants
    return json.dumps(out).encode()


async def wait_ready(nodes, timeout_s=20):
    until = time.monotonic() + timeout_s
    quiet = Record(os.devnull)
    for it in nodes:
        while (await ask(quiet, it.ready, "ready", "GET", "/-/readiness", timeout_s=1))[0] != 200:
            if time.monotonic() > until:
                raise CannotRun(f"{it.name} was not ready within {timeout_s} s")
            await asyncio.sleep(0.1)


async def run_quietly(scenario, record, scratch, nodes):
    """Connections that are open at the end are cancelled; the stream library would report each of them."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    await asyncio.wait_for(scenario(record, scratch, nodes), 110)


def play(scenario, folder):
    """Runs `scenario(record, temporary folder, nodes)`. Returns the exit code: 1 broken, 0 held, 2 could not run."""
    record, nodes = Record(pathlib.Path(folder) / "record.txt"), []
    record.note(f"TROUBLE={1 if TROUBLE else 0}")
    if not NODE.exists():
        record.note("target/bin/damask-node is missing")
        return 2
    with tempfile.TemporaryDirectory(prefix="damask-review-") as scratch:
        try:
            asyncio.run(run_quietly(scenario, record, scratch, nodes))
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record.note(f"could not run: {type(error).__name__} {error}")
            print("could not run:", error)
            return 2
        finally:
            for it in nodes:
                it.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for it in pathlib.Path(scratch).glob("*.log"):
                    (pathlib.Path(keep) / it.name).write_bytes(it.read_bytes())
    print(*record.broken[:10], f"{len(record.broken)} broken", sep="\n")
    return 1 if record.broken else 0

"""DRAIN: a worker whose clock was set back before its restart reports `draining`, and nodes ignore it."""

import asyncio
import collections
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from http_messages import message, read_body, read_head, reset  # noqa: E402
from store import Store  # noqa: E402
from system import BOUNDS, Node, configuration, main, trouble  # noqa: E402
from worker import Worker  # noqa: E402

SEED = 1
NODES, WORKERS, SLOTS, QUEUE, WORK_S = 2, 6, 2, 8, 0.12
CALLERS, RATE_EACH = 66, 2.5  # requests a second of one caller
ROUNDS, ROUND_S = 7, 12.0
CLOCK_AHEAD_MS = 2000  # `clock_step`: x, back after for_s
UP_S, DOWN_S = 0.7, 0.7  # `srv_flap`: down and up, period 1.4 s
CALM_S = 6.0             # from the restart to the leaving
SERVES_ON_S = 2.6        # after it reports `draining`: drainMs, and a little longer
DRAIN_S = BOUNDS["drainMs"] / 1000
DEADLINE_MS, TIMEOUT_MS, OBJECTIVE_MS = 1500, 800, 300


async def case(folder, record, network, nodes):
    rng = random.Random(SEED)
    store = await Store((network.ip(), 8541), record).start()
    await store.put("op/config", configuration(7, {"book": ("unsafe", "/book/", TIMEOUT_MS, OBJECTIVE_MS)}))
    workers = []

    def new_worker(name, ip, clock_ahead_ms=0):
        return Worker(name, "book", (ip, 8100), record, SLOTS, QUEUE, tells_load=True,
                      work=lambda fields: rng.uniform(0.5, 1.5) * WORK_S, born=int(time.time() * 1000) + clock_ahead_ms)

    async def add_worker(it):
        workers.append(await it.start())
        await store.put(f"servers/{it.name}", it.entry())
        return it
    for n in range(WORKERS):
        await add_worker(new_worker(f"i-{n}", network.ip()))
    ips = [network.ip() for _ in range(NODES)]
    for n, ip in enumerate(ips):
        nodes.append(Node(folder, f"node-{n}", ip, store.address, [f"{it}:8544" for it in ips]).start())
    for it in nodes:
        if not await it.wait_ready():
            record.write(f"{it.name} is not ready")
            return None
    finished = False
    sent_at, answers = {}, collections.Counter()

    async def caller(number):
        reader = writer = None
        sent = 0
        while not finished:
            await asyncio.sleep(rng.expovariate(RATE_EACH))
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*nodes[number % NODES].front)
                sent += 1
                request = f"{number:02}-{sent:05}"
                sent_at[request] = time.monotonic()
                writer.write(message(f"POST /book/{sent} HTTP/1.1", {
                    "Host": "a.example", "X-Request-Id": request, "X-Deadline-Ms": str(DEADLINE_MS)}, b"x" * 40))
                head = await asyncio.wait_for(read_head(reader), 3)
                if head is None:
                    raise ConnectionError
                await read_body(reader, head[1])
                status = int(head[0].split(" ")[1])
                answers[status] += 1
                if status != 200:
                    record.write(f"client {number} sent {request} to node-{number % NODES} and gets {status}")
                if head[1].get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                record.write(f"client {number} lost its connection")
                if writer is not None:
                    reset(writer)
                writer = None

    async def leave(it, broken):
        """The worker reports `draining`, serves on for a while, and exits."""
        it.state = "draining"
        await store.put(f"servers/{it.name}", it.entry())
        gone = time.monotonic()
        record.write(f"{it.name} reports draining, and the store has acknowledged it")
        await asyncio.sleep(SERVES_ON_S)
        late = [(at - gone, request) for at, request in it.arrivals if at > gone + DRAIN_S]
        for after, request in late:
            record.write(f"{request} reached {it.name} {after:.3f} s after it reported draining, sent "
                         f"{sent_at[request] - gone:.3f} s after it to node-{int(request[:2]) % NODES}")
        broken += [f"DRAIN: {request} reached {it.name} {after:.3f} s after it reported draining"
                   for after, request in late]
        record.write(f"{it.name} exits; {it.running} requests at work are lost with it")
        it.end()
        await store.put(f"servers/{it.name}", None)

    async def flap(name):
        """A worker starts, goes down and starts again under its id. With the disruption its clock is ahead at the
        first start, and right again at the second."""
        ahead = CLOCK_AHEAD_MS if trouble() else 0
        it = await add_worker(new_worker(name, network.ip(), ahead))
        record.write(f"{name} starts, born {it.born}, its clock {ahead} ms ahead")
        await asyncio.sleep(UP_S)
        it.end()
        record.write(f"{name} goes down")
        await asyncio.sleep(DOWN_S)
        it = await add_worker(new_worker(name, it.address[0]))
        record.write(f"{name} starts again, born {it.born}")
        return it

    callers = [asyncio.create_task(caller(n)) for n in range(CALLERS)]
    broken = []
    await asyncio.sleep(4)  # the machines ran undisturbed for stableWindowMs
    for n in range(ROUNDS):
        began = time.monotonic()
        it = await flap(f"i-{WORKERS + n}")
        await asyncio.sleep(CALM_S)
        await leave(it, broken)
        await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))
    finished = True
    await asyncio.gather(*callers)
    record.write(f"answers: {answers}")
    return broken


main(HERE, case)

"""DRAIN: after one cut watch, a node keeps a worker that has left in use beyond drainMs."""

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
NODES, WORKERS, SLOTS, QUEUE, WORK_S = 2, 5, 6, 24, 0.12
CALLERS, RATE_EACH = 40, 2.5  # requests a second of one caller
ROUNDS, ROUND_S = 9, 10.5
LEAVES_AFTER_CUT_S = 0.05
SERVES_ON_S = 3.25  # after its entry is removed: drainMs, and a little longer
DRAIN_S = BOUNDS["drainMs"] / 1000
DEADLINE_MS, TIMEOUT_MS, OBJECTIVE_MS = 1500, 800, 300


async def case(folder, record, network, nodes):
    rng = random.Random(SEED)
    store = await Store((network.ip(), 8541), record).start()
    await store.put("op/config", configuration(7, {"book": ("unsafe", "/book/", TIMEOUT_MS, OBJECTIVE_MS)}))
    workers = []

    async def add_worker():
        it = Worker(f"i-{len(workers)}", "book", (network.ip(), 8100), record, SLOTS, QUEUE, tells_load=True,
                    work=lambda fields: rng.uniform(0.5, 1.5) * WORK_S)
        workers.append(await it.start())
        await store.put(f"servers/{it.name}", it.entry())
        return it
    for _ in range(WORKERS):
        await add_worker()
    stale_seeds = [f"{network.ip()}:8544" for _ in range(3)]  # machines that are gone
    for n in range(NODES):
        nodes.append(Node(folder, f"node-{n}", network.ip(), store.address, stale_seeds).start())
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
        """The worker leaves without reporting `draining`: its entry is removed, and it serves on for a while."""
        await store.put(f"servers/{it.name}", None)
        gone = time.monotonic()
        record.write(f"{it.name} leaves: its entry is removed, and the store has acknowledged it")
        await asyncio.sleep(SERVES_ON_S)
        late = [(at - gone, request) for at, request in it.arrivals if at > gone + DRAIN_S]
        for after, request in late:
            record.write(f"{request} reached {it.name} {after:.3f} s after its entry was removed, sent "
                         f"{sent_at[request] - gone:.3f} s after it to node-{int(request[:2]) % NODES}")
        broken += [f"DRAIN: {request} reached {it.name} {after:.3f} s after its entry was removed"
                   for after, request in late]
        record.write(f"{it.name} exits; {it.running} requests at work are lost with it")
        it.end()

    callers = [asyncio.create_task(caller(n)) for n in range(CALLERS)]
    broken = []
    await asyncio.sleep(4)  # the machines ran undisturbed for stableWindowMs
    for n in range(ROUNDS):
        began = time.monotonic()
        await add_worker()
        await asyncio.sleep(1)
        if trouble():
            while await store.cut_watches() == 0:
                await asyncio.sleep(0.005)
            record.write("the store cuts a watch that is waiting")
            await asyncio.sleep(LEAVES_AFTER_CUT_S)
        await leave(workers[n], broken)
        await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))
    finished = True
    await asyncio.gather(*callers)
    record.write(f"answers: {answers}")
    return broken


main(HERE, case)

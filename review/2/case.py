"""REFUSED, TWICE: a second copy of a rejection is taken for the answer to the next attempt of the same request."""

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
from system import Node, configuration, main, trouble  # noqa: E402
from worker import Worker  # noqa: E402

SEED = 1
NODES, WORKERS, SLOTS, QUEUE, ATTEMPTS = 4, 5, 6, 24, 3
CALLERS, RATE_EACH = 88, 5.0  # requests a second of one caller
WORK_S = (0.03, 0.09)
SPOIL_SHARE, SPOIL_WORKERS, SPOIL_S = 0.03, 3, 5.0
SHED_SHARE, SHED_AFTER_S, SHED_S = 0.55, 1.5, 2.0
EACH_S = 10.0  # a round: SPOIL_S from its start, and in it SHED_S from SHED_AFTER_S on
SECONDS = 100
DEADLINE_MS, TIMEOUT_MS, OBJECTIVE_MS = 1000, 1000, 200
NOT_RUN = {408, 421, 429, 503}


async def case(folder, record, network, nodes):
    rng = random.Random(SEED)
    store = await Store((network.ip(), 8541), record).start()
    await store.put("op/config", configuration(7, {"till": ("unsafe", "/till/", TIMEOUT_MS, OBJECTIVE_MS)}, ATTEMPTS))
    workers = []
    for n in range(WORKERS):
        it = Worker(f"i-{n}", "till", (network.ip(), 8100), record, SLOTS, QUEUE, tells_load=True,
                    work=lambda fields: rng.uniform(*WORK_S))
        workers.append(await it.start())
        await store.put(f"servers/{it.name}", it.entry())
    ips = [network.ip() for _ in range(NODES)]
    for n, ip in enumerate(ips):
        nodes.append(Node(folder, f"node-{n}", ip, store.address, [f"{it}:8544" for it in ips]).start())
    for it in nodes:
        if not await it.wait_ready():
            record.write(f"{it.name} is not ready")
            return None
    began = time.monotonic()

    def spoils():
        """`garble`, `how` = "extra late": for 5 s at a time, some workers send some answers a second time."""
        return (trouble() and (time.monotonic() - began) % EACH_S < SPOIL_S and rng.random() < SPOIL_SHARE)

    def sheds():
        """`srv_grey`, `how` = "shed all": all workers reject part of the requests."""
        return 0 <= (time.monotonic() - began) % EACH_S - SHED_AFTER_S < SHED_S and rng.random() < SHED_SHARE
    for it in workers[:SPOIL_WORKERS]:
        it.spoil = spoils
    for it in workers:
        it.sheds = sheds

    answers = {}

    async def caller(number):
        reader = writer = None
        sent = 0
        while time.monotonic() - began < SECONDS:
            await asyncio.sleep(rng.expovariate(RATE_EACH))
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*nodes[number % NODES].front)
                sent += 1
                request = f"{number:02}-{sent:05}"
                record.write(f"client {number} sends {request}")
                writer.write(message(f"POST /till/{sent} HTTP/1.1", {
                    "Host": "a.example", "X-Request-Id": request, "X-Deadline-Ms": str(DEADLINE_MS)}, b"x" * 40))
                head = await asyncio.wait_for(read_head(reader), 3)
                if head is None:
                    raise ConnectionError
                await read_body(reader, head[1])
                answers[request] = int(head[0].split(" ")[1])
                record.write(f"client {number} gets {answers[request]} for {request}")
                if head[1].get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                record.write(f"client {number} lost its connection")
                if writer is not None:
                    reset(writer)
                writer = None

    await asyncio.gather(*(caller(n) for n in range(CALLERS)))
    runs = collections.defaultdict(list)
    for it in workers:
        for _, request in it.runs:
            runs[request].append(it.name)
    broken = [f"TWICE: {request} ran on {' and '.join(names)}" for request, names in runs.items() if len(names) > 1]
    broken += [f"REFUSED: {request} got {answers[request]} and ran on {names[0]}" for request, names in runs.items()
               if answers.get(request) in NOT_RUN]
    record.write(f"answers: {collections.Counter(answers.values())}")
    return broken


main(HERE, case)

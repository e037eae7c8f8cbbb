"""The settings name other seeds, and half of the machines are restarted with them."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "11"))

from standins import Client, Node, Store, TROUBLE, Worker, configuration, play, wait_ready  # noqa: E402

ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
RATE, BURST = 100, 20                    # of the tenant
WINDOW_S, OVERRUN, SLACK = 5, 0.1, 20    # quotaWindowS, quotaOverrun, quotaSlack
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
HEARTBEAT_S = 1.5
CALLERS, EACH_PER_S = 10, 5.0            # for each node


class Counting(Worker):
    arrivals = {}

    async def run(self, request, *rest):
        self.arrivals[request] = time.monotonic()
        return await super().run(request, *rest)


async def call(record, node, number, sent):
    """A client that keeps its connection, and honours Retry-After only as far as its own rate does."""
    client, count = None, 0
    while True:
        await asyncio.sleep(1 / EACH_PER_S)
        count += 1
        request = f"{node.name}-{number}-{count}"
        try:
            client = client or await Client(record, node.front).open()
            sent[request] = time.monotonic()
            await client.send(request, "GET", "/list/1", fields={"X-Api-Key": "key-1"})
            status, fields, _ = await asyncio.wait_for(client.receive(request), 3)
        except (OSError, asyncio.TimeoutError):
            status, fields = 0, {}
        if status == 0 or fields.get("connection") == "close":
            if client:
                client.close()
            client = None


async def scenario(record, scratch, nodes):
    store = Store(record)
    await store.start()
    tenants = [{"name": "jangada", "apiKeys": ["key-1"], "ratePerS": RATE, "burst": BURST, "priority": 1}]
    await store.put("op/config", configuration(1, {"list": ("safe", {"service": "board"})}, ["board"], tenants))
    workers = [Counting(record, f"i-{n}", "board", f"z{n % 3 + 1}") for n in range(12)]
    for it in workers:
        await it.start()

    async def beat():
        while True:
            for it in workers:
                await store.put(f"servers/{it.name}", it.entry())
            await asyncio.sleep(HEARTBEAT_S)
    tasks = [asyncio.create_task(beat())]
    nodes += [Node(f"front-{n + 1}", f"z{n % 3 + 1}", ZONES) for n in range(6)]
    old = [f"127.0.0.1:{it.control}" for it in nodes[:3]]
    new = [f"127.0.0.1:{nodes[n].control}" for n in (3, 0, 1)]
    for it in nodes:
        it.start(scratch, store.port, old, accounts=True)
    await wait_ready(nodes)
    record.note(f"allowed in any {WINDOW_S} s: {ALLOWED:.0f}")
    sent = {}
    tasks += [asyncio.create_task(call(record, it, n, sent)) for it in nodes for n in range(CALLERS)]
    await asyncio.sleep(10)
    for it in nodes[3:]:  # the settings change, and these machines are stopped and started in turn
        record.note(f"{it.name} gets SIGTERM")
        it.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(it.process.wait, 7)
        it.start(scratch, store.port, new if TROUBLE else old, accounts=True)
        await wait_ready([it])
        record.note(f"{it.name} is ready with the seeds {'new' if TROUBLE else 'as before'}")
    await asyncio.sleep(20)
    for it in tasks:
        it.cancel()
    runs = sorted((at, request) for request, at in Counting.arrivals.items())
    worst = (0, 0.0)
    for start, _ in runs:
        count = sum(1 for at, request in runs if start <= at <= start + WINDOW_S and sent[request] >= start)
        worst = max(worst, (count, start))
    record.note(f"worst window: {worst[0]} runs from {worst[1] - record.began:.1f} s")
    print("worst window:", worst[0], "allowed:", round(ALLOWED))
    if worst[0] > ALLOWED:
        record.fail(f"QUOTA: {worst[0]} requests ran in {WINDOW_S} s from {worst[1] - record.began:.1f} s, "
                    f"allowed are {ALLOWED:.0f}")


if __name__ == "__main__":
    sys.exit(play(scenario, pathlib.Path(__file__).resolve().parent))

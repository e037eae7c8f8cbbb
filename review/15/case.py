"""A seed is cut off from the store, which discards old history; workers join and leave meanwhile."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "11"))

from standins import (Client, HOST, Node, Store, TROUBLE, Worker, close_quietly, configuration, free_port,  # noqa: E402
                      play, wait_ready)

ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
HEARTBEAT_S = 1.5
CUT_S = 5.0        # for_s of core_cut: 5.5 at most in the site's troubles
HISTORY_S = 3.0    # the store discards its history sooner than historyS (20 s)
DRAIN_S = 2.0      # drainMs
SERVES_ON_S = 10.0  # after its removal: drainMs "and a little longer (at times many seconds)"
WORKERS = 40
JOINING = 8        # are added during the cut: share 0.2, scale_out has 0.25
LEAVING = 6        # of those leave again, as in a release that is taken back: share 0.125, scale_in has 0.13
GAP_S = 0.25       # between two of them that leave
LEAD_S = 1.25      # from the first of them to the end of the cut
CALLERS, EACH_PER_S = 8, 3.0  # for each node


class ForgetfulStore(Store):
    def forget(self):
        """Discards what is older than HISTORY_S."""
        limit = time.monotonic() - HISTORY_S
        while self.events and self.events[0][0] < limit:
            self.oldest = self.events.pop(0)[1]


class Link:
    """The link of one machine to the store. While it is cut, bytes wait, as for a retransmission."""

    def __init__(self, target):
        self.port, self.target, self.cut = free_port(), target, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        while self.cut:
            await asyncio.sleep(0.01)
        try:
            there_reader, there_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            close_quietly(writer)
            return
        await asyncio.gather(self.forward(reader, there_writer), self.forward(there_reader, writer))

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        close_quietly(writer)


class Till(Worker):
    def __init__(self, *rest, **more):
        super().__init__(*rest, **more)
        self.arrivals, self.left_at = [], None

    async def run(self, request, *rest):
        self.arrivals.append((time.monotonic(), request))
        return await super().run(request, *rest)


async def call(record, node, number, sent):
    client, count = None, 0
    while True:
        await asyncio.sleep(random.expovariate(EACH_PER_S))
        count += 1
        request = f"{node.name}-{number}-{count}"
        try:
            client = client or await Client(record, node.front).open()
            sent[request] = time.monotonic()
            await client.send(request, "POST", "/pay/1")
            status, fields, _ = await asyncio.wait_for(client.receive(request), 3)
        except (OSError, asyncio.TimeoutError):
            status, fields = 0, {}
        if status == 0 or fields.get("connection") == "close":
            if client:
                client.close()
            client = None


async def scenario(record, scratch, nodes):
    store = ForgetfulStore(record)
    await store.start()
    await store.put("op/config", configuration(1, {"pay": ("unsafe", {"service": "till"})}, ["till"]))
    tasks = []

    async def beat(worker):
        while worker.left_at is None:
            await store.put(f"servers/{worker.name}", worker.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def add(name, n):
        it = Till(record, name, "till", f"z{n % 3 + 1}", work_s=0.1)
        await it.start()
        tasks.append(asyncio.create_task(beat(it)))
        return it

    async def discard_history():
        while True:
            store.forget()
            await asyncio.sleep(0.1)

    for n in range(WORKERS):
        await add(f"i-{n}", n)
        await asyncio.sleep(HEARTBEAT_S / WORKERS)
    tasks.append(asyncio.create_task(discard_history()))
    link = Link(store.port)
    await link.start()
    nodes += [Node(f"front-{n}", f"z{n % 3 + 1}", ZONES) for n in range(6)]
    seeds = [f"{HOST}:{port}" for port in (nodes[0].control, free_port(), free_port())]  # two of them are down
    for n, it in enumerate(nodes):
        it.start(scratch, link.port if n == 0 else store.port, seeds)
    await wait_ready(nodes)
    sent = {}
    tasks += [asyncio.create_task(call(record, it, n, sent)) for it in nodes[1:] for n in range(CALLERS)]
    await asyncio.sleep(6)

    record.note(f"{nodes[0].name} is cut off from the store: {TROUBLE}")
    link.cut = TROUBLE
    cut_at = time.monotonic()
    await asyncio.sleep(1.5)
    joined = [await add(f"i-new-{n}", n) for n in range(JOINING)]
    record.note(f"{JOINING} workers are added at revision {store.revision}")
    await asyncio.sleep(cut_at + CUT_S - LEAD_S - time.monotonic())
    for it in joined[:LEAVING]:
        if link.cut and time.monotonic() >= cut_at + CUT_S:
            link.cut = False
            record.note("the cut heals")
        it.left_at = time.monotonic()
        await store.put(f"servers/{it.name}", None)
        record.note(f"{it.name} leaves: its entry is removed at revision {store.revision}")
        await asyncio.sleep(GAP_S)
    link.cut = False
    await asyncio.sleep(SERVES_ON_S)
    for it in tasks:
        it.cancel()
    total = 0
    for it in joined[:LEAVING]:
        late = [(at, request) for at, request in it.arrivals if sent[request] > it.left_at + DRAIN_S]
        total += len(late)
        for at, request in late:
            record.fail(f"DRAIN: {request} reached {it.name} {at - it.left_at:.2f} s after its removal was acknowledged")
    print(total, "late requests")


if __name__ == "__main__":
    sys.exit(play(scenario, pathlib.Path(__file__).resolve().parent))

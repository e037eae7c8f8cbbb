"""The store returns from a copy that is some seconds old, and its revisions are given out again."""

import asyncio
import pathlib
import sys
import time

from standins import Node, Store, TROUBLE, Worker, ask, configuration, play, wait_ready

ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
SERVICES = ("old-svc", "new-svc")
HEARTBEAT_S = 1.5
AWAY_S = 1.0      # "away for a moment"
COPY_AGE_S = 2.0  # "some seconds old"
APPLY_S = 2.0     # configApplyMs
STABLE_S = 3.0    # stableWindowMs


def version(n):
    """The first two versions send /book/ to old-svc; the third moves it to new-svc and drops /gone/."""
    action = {"service": "new-svc" if n == 3 else "old-svc"}
    routes = {"book": ("unsafe", action), "list": ("safe", {"service": "new-svc"})}
    if n < 3:
        routes["gone"] = ("unsafe", {"service": "old-svc"})
    return configuration(n, routes, SERVICES)


async def beat(store, worker):
    """A worker's writes. What the store has lost is written again as soon as it is back."""
    era, written = store.era, []
    while True:
        value = worker.entry()
        while not await store.put(f"servers/{worker.name}", value):
            await asyncio.sleep(0.02)
        written.append((time.monotonic(), value))
        due = time.monotonic() + HEARTBEAT_S
        while (left := due - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if store.up and store.era != era:
                era = store.era
                for at, it in written:
                    if at > store.copied_at:
                        await store.put(f"servers/{worker.name}", it)
        written = written[-5:]


async def scenario(record, scratch, nodes):
    store = Store(record)
    store.copied_at = float("inf")
    await store.start()
    await store.put("op/config", version(1))
    workers = [Worker(record, f"i-{service}-{n}", service, f"z{n % 3 + 1}") for service in SERVICES for n in range(9)]
    beats = []
    for it in workers:
        await it.start()
        beats.append(asyncio.create_task(beat(store, it)))
        await asyncio.sleep(HEARTBEAT_S / len(workers))  # the heartbeats are spread evenly
    nodes += [Node(f"front-{n}", f"z{n % 3 + 1}", ZONES) for n in range(4)]
    seeds = [f"127.0.0.1:{it.control}" for it in nodes[:3]]
    for it in nodes:
        it.start(scratch, store.port, seeds)
    await wait_ready(nodes)
    await asyncio.sleep(4)
    for n, it in enumerate(nodes):
        await ask(record, it.front, f"before-{n}", "POST", "/book/1")
    await store.put("op/config", version(2))
    record.note(f"version 2 acknowledged at revision {store.revision}")
    await asyncio.sleep(0.7)
    if TROUBLE:
        record.note(f"the store goes away at revision {store.revision}, era {store.era}")
        store.copied_at = time.monotonic() - COPY_AGE_S
        before = store.revision
        await store.go_away()
        await asyncio.sleep(AWAY_S)
        lost = await store.come_back(store.copied_at)
        record.note(f"the store is back at revision {store.revision}, era {store.era}, {len(lost)} changes lost")
        # The operator writes again what it wrote, and then what it could not write while the store was away.
        if any(key == "op/config" for _, _, key, _ in lost):
            await store.put("op/config", version(2))
    await store.put("op/config", version(3))
    acknowledged = time.monotonic()
    record.note(f"version 3 acknowledged at revision {store.revision}")
    if TROUBLE:
        while store.revision < before:
            await asyncio.sleep(0.001)
        record.note(f"the revisions up to {before} were given out again {1000 * (time.monotonic() - acknowledged):.0f}"
                    " ms after that")
    await asyncio.sleep(max(APPLY_S, STABLE_S) + 0.5)
    for turn in range(10):  # all machines are in touch from here on
        for n, it in enumerate(nodes):
            since = time.monotonic() - acknowledged
            request = f"after-{n}-{turn}"
            status, _, body = await ask(record, it.front, request, "POST", "/book/1")
            if status == 200 and body.endswith(b"old-svc"):
                record.fail(f"CONFIG: {it.name} sent {request} to old-svc {since:.1f} s after version 3 was acknowledged")
            request = f"gone-{n}-{turn}"
            status, _, body = await ask(record, it.front, request, "POST", "/gone/1")
            if status == 200:
                record.fail(f"CONFIG: {it.name} ran {request} on a dropped route {since:.1f} s after version 3")
        await asyncio.sleep(0.5)
    for it in beats:
        it.cancel()


if __name__ == "__main__":
    sys.exit(play(scenario, pathlib.Path(__file__).resolve().parent))

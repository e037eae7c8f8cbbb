"""LOST: a stopping node passes on requests that it can't finish, and exits while their worker is at work."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from http_messages import message, read_body, read_head  # noqa: E402
from store import Store  # noqa: E402
from system import BOUNDS, Node, configuration, main, trouble  # noqa: E402
from worker import Worker  # noqa: E402

SEED = 1
# An unsafe kind of the other deployment on the same page, grown/LATER.md: table-hold
DEADLINE_MS, TIMEOUT_MS, OBJECTIVE_MS = 5000, 2500, 1000
WORKERS, SLOTS, QUEUE = 5, 6, 24
CLIENTS, ROUNDS = 20, 7
CALM_S = 4.0            # before each stop; stableWindowMs is 3 s
FIRST_S = (1.2, 1.6)    # after SIGTERM: a pool client's last request that is answered with Connection: close
SECOND_MISS_S = 1.95    # until then the platform forwards new connections to the node
SECOND_S = (3.05, 3.45)  # after SIGTERM: the client's next request, on the connection that it has opened instead
FIRST_WORK_S, SECOND_WORK_S = 0.2, (1.9, 2.3)  # work_ms of table-hold: 2300 at most
EXCUSED_UNTIL_S = 3.0


async def exchange(connection, request, work_s):
    """Sends one request and returns its status and whether the node closes, or 0 when the connection ends before."""
    reader, writer = connection
    writer.write(message(f"POST /hold/{request} HTTP/1.1", {
        "Host": "a.example", "X-Request-Id": request, "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Work-S": f"{work_s:.3f}"}, b"x" * 1200))
    try:
        head = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000 + 1)
        if head is None:
            return 0, True
        await read_body(reader, head[1])
        return int(head[0].split(" ")[1]), head[1].get("connection", "").lower() == "close"
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, True


async def case(folder, record, network, nodes):
    rng = random.Random(SEED)
    store = await Store((network.ip(), 8541), record).start()
    await store.put("op/config", configuration(7, {"hold": ("unsafe", "/hold/", TIMEOUT_MS, OBJECTIVE_MS)}))
    workers = []
    for n in range(WORKERS):
        it = Worker(f"i-{n}", "hold", (network.ip(), 8100), record, SLOTS, QUEUE, tells_load=True,
                    work=lambda fields: float(fields["x-work-s"]))
        workers.append(await it.start())
        await store.put(f"servers/{it.name}", it.entry())
    node = Node(folder, "node-0", network.ip(), store.address)
    nodes.append(node)
    outcomes, broken = collections.Counter(), []

    def ran(request):
        return next((it.name for it in workers if any(request == n for _, n in it.runs)), None)

    async def pool_client(number, count, began):
        """Keeps one connection ready: when the node closes it after an answer, the client opens another at once."""
        connection = await asyncio.open_connection(*node.front)
        await asyncio.sleep(began + rng.uniform(*FIRST_S) - time.monotonic())
        status, closes = await exchange(connection, f"{count}-{number:02}-a", FIRST_WORK_S)
        outcomes[status] += 1
        if closes:
            connection[1].close()
            if time.monotonic() - began > SECOND_MISS_S:
                return  # the platform no longer forwards connections to this node
            connection = await asyncio.open_connection(*node.front)
            record.write(f"client {number} opens another connection {time.monotonic() - began:.3f} s after SIGTERM")
        await asyncio.sleep(began + rng.uniform(*SECOND_S) - time.monotonic())
        request = f"{count}-{number:02}-b"
        sent = time.monotonic() - began
        record.write(f"client {number} sends {request} {sent:.3f} s after SIGTERM")
        status, _ = await exchange(connection, request, rng.uniform(*SECOND_WORK_S))
        outcomes[status] += 1
        ended = time.monotonic() - began
        record.write(f"client {number} gets {status or 'no answer'} for {request} {ended:.3f} s after SIGTERM")
        if status == 0 and ran(request) and sent > EXCUSED_UNTIL_S:
            broken.append(f"LOST: {request}, sent {sent:.3f} s after SIGTERM, ran on {ran(request)}; its connection "
                          f"ended without an answer {ended:.3f} s after SIGTERM")
        connection[1].close()

    for count in range(ROUNDS):
        if not node.alive():
            node.start()
            if not await node.wait_ready():
                return None
        await asyncio.sleep(CALM_S)
        began = time.monotonic()
        if trouble():
            record.write("SIGTERM")
            node.signal(signal.SIGTERM)
        await asyncio.gather(*(pool_client(n, count, began) for n in range(CLIENTS)))
        await asyncio.sleep(max(0.0, began + BOUNDS["graceS"] - time.monotonic()))
        if trouble() and node.alive():
            record.write("SIGKILL: the node still runs after graceS")
            node.end()
    record.write(f"outcomes, 0: no answer: {dict(outcomes)}")
    return broken


main(HERE, case)

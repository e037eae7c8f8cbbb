"""Nodes as real processes between callers, workers and a store that misbehave; rounds of faults drawn from a seed."""

import asyncio
import json
import random
import signal
import time

import proxy
import store
import worker
from caller import Caller
from checks import APPLY_S, CALM_S, Record
from damaskbench import Bench
from http_text import message, read_body, read_head

SERVICES = {"read": ("GET", True), "hold": ("POST", False), "pay": ("PUT", False)}
SLOTS, WORK_S = 6, 0.02
GRACE_S = 6
RECOVERED_SHARE = 0.9  # of the calls in the calm at the end of a round


class Node:
    """One damask-node with the proxies of its links to the store and to the seeds."""

    def __init__(self, soak, number):
        bench = soak.bench
        self.name = f"node-{number}"
        self.front, self.ready, self.operate, self.control = (bench.port() for _ in range(4))
        self.store_link = proxy.Proxy(bench.port(), soak.store.port)
        self.incarnation, self.troubled_at, self.planned_at = 0, 0.0, 0.0
        self.misses, self.paused, self.stopping, self.process = 0, False, False, None

    def settings(self, soak):
        seeds = [f"127.0.0.1:{it.control if it is self else soak.seed_links[n].port}"
                 for n, it in enumerate(soak.seeds)]
        at = {key: f"127.0.0.1:{port}" for key, port in
              (("front", self.front), ("ready", self.ready), ("operate", self.operate), ("nodes", self.control),
               ("store", self.store_link.port))}
        return {"instance": {"name": self.name, "data-centre": "z1", "data-centres": "z1:r1"},
                "front": {"endpoint": at["front"]}, "ready": {"endpoint": at["ready"]},
                "operate": {"endpoint": at["operate"]}, "store": {"endpoint": at["store"]},
                "nodes": {"endpoint": at["nodes"], "seeds": " ".join(seeds)},
                "bounds": {"configuration": "2 s", "drain": "2 s"},
                "route": {"retry-ratio": "0.2", "retry-window": "10 s"}, "stop": {"grace": f"{GRACE_S} s"}}

    def trouble(self):
        self.troubled_at = time.monotonic()

    def send(self, number):
        if self.process.alive():
            self.process.signal(number)


class NodeSoak:
    def __init__(self, seed, seconds, nodes=5, workers=4, callers=24, leave_share=0.02, broken=""):
        self.seed, self.seconds, self.broken = seed, seconds, broken
        self.draw = random.Random(seed)
        self.counts = nodes, workers, callers
        self.leave_share, self.rate_each = leave_share, 8.0
        self.kinds = [(service, method, idempotent) for service, (method, idempotent) in SERVICES.items()]
        self.over, self.began = False, time.monotonic()
        self.timeline, self.tasks = [], []
        self.workers, self.spare_ports, self.version, self.acknowledged = [], [], 0, []
        self.record = Record(self.calm)

    def note(self, what):
        self.timeline.append(f"{time.monotonic() - self.began:8.2f} s  {what}")

    def calm(self, node, since, planned=False):
        """Whether nothing was done to the node, its links or the store from CALM_S before `since` until now."""
        latest = max(node.troubled_at, self.store.troubled_at, 0.0 if planned else node.planned_at)
        return latest < since - CALM_S and not node.paused and self.store.mood == store.WELL

    def pick_node(self):
        """As the platform's ingress: nodes that missed two readiness checks get no new connections."""
        ready = [it for it in self.nodes if it.misses < 2]
        return self.draw.choice(ready if len(ready) * 2 >= len(self.nodes) else self.nodes)

    async def watch_readiness(self):
        while not self.over:
            await asyncio.gather(*(self.ask_ready(it) for it in self.nodes))
            await asyncio.sleep(1)

    async def ask_ready(self, node):
        status = await self.get(node.ready, "/-/readiness", {}, 0.9)
        node.misses = 0 if status == 200 else node.misses + 1

    @staticmethod
    async def get(port, target, fields, seconds):
        """The status, or 0 when none came."""
        async def ask():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(message(f"GET {target} HTTP/1.1", {"Host": "a.example", **fields}))
                head = await read_head(reader)
                await read_body(reader, head[1])
                return int(head[0].split(" ")[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), seconds)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError):
            return 0

    # The operators

    async def configure(self):
        """A new version: its number is a route of its own, and the two before it stay."""
        self.version += self.draw.randint(1, 5)
        if self.broken == "configuration" and self.version > 5:
            self.acknowledged.append((time.monotonic(), self.version))
            return  # told as taken, and never written
        rules = [{"name": f"r-{service}", "kind": "safe" if idempotent else "unsafe", "targetLatencyMs": 250,
                  "priority": n, "match": {"prefix": f"/{service}/"},
                  "action": {"service": service, "timeoutMs": 900, "maxAttempts": 3}}
                 for n, (service, (_, idempotent)) in enumerate(SERVICES.items())]
        rules.append({"name": "r-version", "kind": "safe", "targetLatencyMs": 250, "priority": 2,
                      "match": {"prefix": f"/version-{self.version}/"},
                      "action": {"service": "read", "timeoutMs": 900, "maxAttempts": 1}})
        value = {"version": f"{self.version:08x}",
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 5000,
                            "idleTimeoutMs": 15000},
                 "listeners": [{"host": "a.example", "ruleSet": rules}],
                 "clusters": [{"name": it, "healthPath": "/health", "maxConns": 200} for it in SERVICES]}
        await self.store.put("op/config", json.dumps(value).encode())
        self.acknowledged.append((time.monotonic(), self.version))

    async def probe_versions(self):
        """Which of the last versions' own routes a node knows: the newest one is in force there."""
        number = 0
        while not self.over:
            await asyncio.sleep(0.25)
            node, now = self.draw.choice(self.nodes), time.monotonic()
            bound = max((version for at, version in self.acknowledged if at < now - APPLY_S), default=0)
            for version in [version for _, version in self.acknowledged[-8:]]:
                number += 1
                request, incarnation = f"probe-{number}", node.incarnation
                target = f"/version-{version}/x"
                self.record.sent[request] = (time.monotonic(), node, "read", True, target, b"")
                status = await self.get(node.front, target, {"X-Request-Id": request, "X-Deadline-Ms": "1000"}, 2)
                if status == 200 and incarnation == node.incarnation and not node.paused:
                    self.record.saw_version(node, version, bound)

    # The workers

    async def add_worker(self, service):
        port = self.bench.port()
        link = self.spare_ports.pop(0) if self.spare_ports and self.draw.random() < 0.7 else None
        if link is None:
            link = await proxy.Proxy(self.bench.port(), port).start()
        link.target = port
        it = worker.Worker(f"i-{len(self.workers)}-{self.draw.randrange(10**6)}", service, port, link.port, SLOTS, WORK_S,
                           self.draw, self.record.ran, self.broken)
        it.link = link
        self.workers.append(await it.start())
        await self.store.put(f"servers/{it.name}", it.entry())

    async def retire(self, it, says):
        """A worker leaves: it says so, or its entry just goes; it serves on for the bound and a little longer."""
        it.state = "draining"
        if self.broken != "drain":
            await self.store.put(f"servers/{it.name}", it.entry() if says else None)
        self.record.leaving[it.name] = time.monotonic()
        await self.add_worker(it.service)
        await asyncio.sleep(6 if self.broken == "drain" else 2.5)
        await it.end()
        it.link.reset_all()
        await self.store.put(f"servers/{it.name}", None)
        self.spare_ports.append(it.link)

    def working(self):
        return [it for it in self.workers if it.state == "ready"]

    # The faults: each is (words, what to do, how long it lasts)

    async def worker_mood(self, lasts):
        it, mood = self.draw.choice(self.working()), self.draw.choice(
            [worker.SLOW, worker.MUTE, worker.ERRORS, worker.LOSES, worker.GARBLES, worker.SHEDS])
        self.note(f"{it.name} {mood} for {lasts:.1f} s")
        it.mood = mood
        await asyncio.sleep(lasts)
        it.mood = worker.WELL

    async def worker_link(self, lasts):
        it, mood = self.draw.choice(self.working()), self.draw.choice(
            [proxy.DELAY, proxy.CUT_THERE, proxy.CUT_BACK, proxy.SILENT, proxy.REFUSE])
        self.note(f"link to {it.name} {mood} for {lasts:.1f} s")
        it.link.become(mood, 0.1)
        await asyncio.sleep(lasts)
        it.link.become(proxy.WELL)
        it.link.reset_all()

    async def worker_leaves(self, _):
        it, says = self.draw.choice(self.working()), self.draw.random() < 0.6
        self.note(f"{it.name} leaves {'and says so' if says else 'by its entry'}")
        await self.retire(it, says)

    async def node_link(self, lasts):
        """One link of a node: to the store, or of all others to a seed."""
        node = self.draw.choice(self.nodes)
        link = self.draw.choice([node.store_link, *self.seed_links])
        mood = self.draw.choice([proxy.DELAY, proxy.CUT_THERE, proxy.CUT_BACK, proxy.SILENT, proxy.REFUSE])
        to_store = link is node.store_link
        self.note(f"link {'of ' + node.name + ' to the store' if to_store else 'to a seed'} {mood} for {lasts:.1f} s")
        link.become(mood, 0.2)
        if link.mood == proxy.REFUSE:
            link.reset_all()
        until = time.monotonic() + lasts
        while time.monotonic() < until:
            if to_store:
                node.trouble()
            await asyncio.sleep(0.1)
        link.become(proxy.WELL)
        if to_store:
            node.trouble()

    async def store_mood(self, lasts):
        mood = self.draw.choice([store.BUSY, store.MANY, store.RESET, store.SILENT])
        self.note(f"store {mood} for {lasts:.1f} s")
        self.store.become(mood)
        await asyncio.sleep(lasts)
        self.store.become(store.WELL)

    async def store_forgets(self, _):
        self.note("store drops its history")
        self.store.drop_history()

    async def node_pauses(self, lasts):
        node = self.draw.choice(self.nodes)
        self.note(f"{node.name} stands still for {lasts:.1f} s")
        node.trouble()
        node.paused = True
        node.send(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        node.send(signal.SIGCONT)
        node.paused = False
        node.trouble()

    async def node_killed(self, lasts):
        for node in self.draw.sample(self.nodes, self.draw.choice([1, 1, 2, len(self.nodes)])):
            self.note(f"{node.name} is killed")
            node.trouble()
            node.process.kill()
            node.incarnation += 1
            self.tasks.append(asyncio.create_task(self.start_later(node, min(lasts, 1.5))))

    async def start_later(self, node, pause):
        await asyncio.sleep(pause)
        if not node.process.alive() and not self.over:
            node.process.start()
            node.trouble()

    async def node_restarts(self, _):
        """A planned restart: nothing that was sent to it may be lost."""
        node = self.draw.choice(self.nodes)
        if not node.process.alive() or node.paused:
            return
        self.note(f"{node.name} is stopped{' again' if node.stopping else ' and started'}")
        node.planned_at = time.monotonic()
        node.send(signal.SIGTERM)
        if node.stopping:
            return  # a second signal while it stops; the first call waits for its end
        node.stopping = True
        ended = await asyncio.to_thread(self.wait_end, node)
        if ended is None and time.monotonic() - node.troubled_at > GRACE_S + CALM_S:
            self.record.fail("grace", f"{node.name} had to be killed {GRACE_S} s after its stop signal")
        node.incarnation += 1
        node.planned_at = time.monotonic()
        if not node.process.alive() and not self.over:
            node.process.start()
        node.stopping = False

    @staticmethod
    def wait_end(node):
        until = time.monotonic() + GRACE_S
        while node.process.alive() and time.monotonic() < until:
            time.sleep(0.05)
        if node.process.alive():
            node.process.kill()
            return None
        return node.process.popen.returncode

    async def settings_change(self, _):
        node = self.draw.choice(self.nodes)
        self.note(f"{node.name} reads its settings again")
        node.send(signal.SIGHUP)

    async def configurations(self, _):
        changes = self.draw.choice([1, 1, 6])
        self.note(f"{changes} configurations")
        for _ in range(changes):
            await self.configure()
            await asyncio.sleep(0.2)

    # A round

    async def start(self):
        nodes, workers, _ = self.counts
        self.store = await store.Store(self.bench.port()).start()
        await self.configure()
        for service in SERVICES:
            for _ in range(workers):
                await self.add_worker(service)
        self.nodes = [Node(self, n) for n in range(nodes)]
        self.seeds = self.nodes[:2]
        self.seed_links = [await proxy.Proxy(self.bench.port(), it.control).start() for it in self.seeds]
        for it in self.nodes:
            await it.store_link.start()
            it.process = self.bench.start(it.name, "damask-node", it.settings(self))
        until = time.monotonic() + 20
        while any([await self.get(it.ready, "/-/readiness", {}, 1) != 200 for it in self.nodes]):
            if time.monotonic() > until:
                raise RuntimeError("the nodes did not become ready in 20 s")
            await asyncio.sleep(0.1)

    async def faults(self):
        kinds = [self.worker_mood, self.worker_link, self.worker_leaves, self.node_link, self.store_mood,
                 self.store_forgets, self.node_pauses, self.node_killed, self.node_restarts, self.settings_change,
                 self.configurations]
        # Few kinds in each run: under all of them at once hardly any bound is ever in force.
        kinds = self.draw.sample(kinds, self.draw.randint(2, 5))
        self.note("kinds: " + ", ".join(it.__name__ for it in kinds))
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            kind = self.draw.choice(kinds)
            self.tasks.append(asyncio.create_task(kind(self.draw.uniform(0.3, 4.0))))
            await asyncio.sleep(self.draw.choice([0.0, 0.1, self.draw.uniform(0.5, 4.0)]))

    async def settle(self):
        """After the faults: everything comes back by itself."""
        while self.tasks:
            tasks, self.tasks = self.tasks, []
            await asyncio.gather(*tasks)
        self.note("calm")
        await asyncio.sleep(CALM_S + 2)
        before = dict(self.record.counts)
        await asyncio.sleep(3)
        gained = {key: n - before.get(key, 0) for key, n in self.record.counts.items()}
        gained.pop("left", None)
        if gained.get(200, 0) < RECOVERED_SHARE * sum(gained.values()):
            self.record.fail("recover", f"in the calm at the end came {gained}")

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(self.report_problem)
        with Bench() as self.bench:
            await self.start()
            self.began = time.monotonic()
            callers = [asyncio.create_task(Caller(self, n).run()) for n in range(self.counts[2])]
            beside = [asyncio.create_task(it) for it in (self.watch_readiness(), self.probe_versions())]
            await self.faults()
            await self.settle()
            for it in self.nodes:
                if not it.process.alive():
                    self.record.fail("exit", f"{it.name} ended with {it.process.popen.returncode}")
            self.over = True
            await asyncio.gather(*callers, *beside)
            for it in self.nodes:
                it.send(signal.SIGTERM)
            await asyncio.to_thread(self.bench.stop_all)
            for it in self.nodes:
                if it.process.popen.returncode != 0:
                    self.record.fail("exit", f"{it.name} ended with {it.process.popen.returncode}")
            self.record.check(time.monotonic())
            self.bench.failures += self.record.failures
            self.close_servers()
        return self.record

    def close_servers(self):
        links = [it.link for it in self.workers] + [it.store_link for it in self.nodes] + self.seed_links
        for it in [self.store, *self.workers, *links]:
            it.server.close()

    @staticmethod
    def report_problem(loop, context):
        """Stand-ins that still hold a connection at the end are cancelled; everything else is a fault of the soak."""
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            loop.default_exception_handler(context)

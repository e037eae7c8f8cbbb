"""Runs nodes as real processes between callers, workers and a store with faults, which a seed determines."""

import asyncio
import json
import random
import signal
import time

import drill
import proxy
import store
import worker
from accounts import Accounts
from caller import Caller
from checks import APPLY_S, COLD_OVERRUN, COLD_PER_S, COLD_S, COLD_SLACK, DRAIN_S, UNDISTURBED_S, Record
from damaskbench import Bench
from http_text import message, read_body, read_head

SERVICES = {"read": ("GET", True), "hold": ("POST", False), "pay": ("PUT", False)}
ROUTES = {**{it: it for it in SERVICES}, "home": "read", "open": "read"}  # prefix: service
ZONES = ("z1", "z2")  # of region r1 and r2
SLOTS, WORK_S = 6, 0.02
# The only kind of fault where a guarantee is broken, by switch; others draw settings_change, which disturbs nothing.
FAULT_OF = {"drain": "worker_leaves", "configuration": "configurations", "back": "configurations",
            "removal": "key_changes", "addition": "key_changes", "evacuation": "evacuation", "lost": "node_restarts",
            "grace": "node_restarts", "exit": "node_killed", "cold": "worker_leaves",
            "era": "store_returns"}
HEDGE_LIMIT = 0.02  # a node has about 17 calls a second of the service that may be hedged
GRACE_S = 6
RECOVERED_SHARE = 0.9  # of the calls in the fault-free phase at the end of a round


class Node:
    """One damask-node and the proxy of its link to the store."""

    def __init__(self, soak, number):
        bench = soak.bench
        self.name = f"node-{number}"
        self.front, self.ready, self.operate, self.control = (bench.port() for _ in range(4))
        self.store_link = proxy.Proxy(bench.port(), soak.store.port)
        self.zone = ZONES[number % len(ZONES)]
        self.incarnation, self.disturbed_at, self.planned_at = 0, 0.0, 0.0
        self.misses, self.paused, self.stopping, self.process = 0, False, False, None

    def settings(self, soak):
        seeds = [f"127.0.0.1:{it.control if it is self else soak.seed_links[n].port}"
                 for n, it in enumerate(soak.seeds)]
        at = {key: f"127.0.0.1:{port}" for key, port in
              (("front", self.front), ("ready", self.ready), ("operate", self.operate), ("nodes", self.control),
               ("store", self.store_link.port))}
        return {"instance": {"name": self.name, "data-centre": self.zone, "data-centres": "z1:r1 z2:r2"},
                "front": {"endpoint": at["front"], "pipeline": "8"}, "ready": {"endpoint": at["ready"]},
                "operate": {"endpoint": at["operate"]}, "store": {"endpoint": at["store"]},
                "nodes": {"endpoint": at["nodes"], "seeds": " ".join(seeds)},
                "bounds": {"configuration": "2 s", "drain": "2 s"},
                "accounts": {"strict-revocation": "yes" if soak.strict else "no", "revocation": "2 s"},
                "quota": {"window": "5 s", "overrun": "0.1", "slack": "20"},
                "cold": {"overrun": str(COLD_OVERRUN), "slack": str(COLD_SLACK)},
                "route": {"retry-ratio": "1" if soak.broken == "budget" else "0.2", "retry-window": "10 s",
                          "hedge-limit": "0.5" if soak.broken == "hedges" else str(soak.record.hedge_limit)},
                "stop": {"grace": f"{GRACE_S} s"}}

    def mark_disturbed(self):
        self.disturbed_at = time.monotonic()

    def send(self, number):
        if self.process.alive():
            self.process.signal(number)


class NodeSoak:
    def __init__(self, seed, seconds, nodes=5, workers=4, callers=24, leave_share=0.02, broken="",
                 also=""):
        self.seed, self.seconds, self.broken, self.also = seed, seconds, broken, also
        self.rng = random.Random(seed)
        self.counts = nodes, workers, callers
        self.leave_share, self.rate_each = leave_share, 8.0
        self.kinds = [(service, prefix, *SERVICES[service]) for prefix, service in ROUTES.items()]
        self.pipelined_kinds = [it for it in self.kinds if it[2] == "GET"]
        self.strict = self.rng.random() < 0.5
        self.probes = 0
        self.finished, self.began = False, time.monotonic()
        self.evacuated = ""  # the data centre that is being evacuated
        self.timeline, self.tasks = [], []
        self.workers, self.spare_links, self.version, self.acknowledged = [], [], 0, []
        self.record = Record(self.undisturbed)
        self.record.hedge_limit = self.rng.choice([0, HEDGE_LIMIT]) if broken != "hedges" else HEDGE_LIMIT
        self.accounts = self.record.accounts = Accounts(self.record, self.rng, self.strict)
        self.probe_key = self.accounts.current("north")[0]  # never removed

    def log_event(self, what):
        self.timeline.append(f"{time.monotonic() - self.began:8.2f} s  {what}")

    def undisturbed(self, node, since, planned=False):
        """Whether no fault affected the node, its links or the store from UNDISTURBED_S before `since` until now."""
        latest = max(node.disturbed_at, self.store.disturbed_at, 0.0 if planned else node.planned_at)
        return latest < since - UNDISTURBED_S and not node.paused and self.store.behaviour == store.HEALTHY

    def pick_node(self):
        """Like the platform's ingress: nodes that failed two readiness checks in a row get no new connections."""
        ready = [it for it in self.nodes if it.misses < 2]
        return self.rng.choice(ready if len(ready) * 2 >= len(self.nodes) else self.nodes)

    async def watch_readiness(self):
        while not self.finished:
            await asyncio.gather(*(self.check_readiness(it) for it in self.nodes))
            await asyncio.sleep(1)

    async def check_readiness(self, node):
        status = await self.get(node.ready, "/-/readiness", {}, 0.9)
        node.misses = 0 if status == 200 else node.misses + 1

    @staticmethod
    async def get(port, target, fields, seconds):
        """Returns the status, or 0 without a response."""
        async def fetch():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(message(f"GET {target} HTTP/1.1", {"Host": "a.example", **fields}))
                head = await read_head(reader)
                await read_body(reader, head[1])
                return int(head[0].split(" ")[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(fetch(), seconds)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError):
            return 0

    # The operators

    async def configure(self):
        """Writes a new version of the configuration, with a route named after the version."""
        self.version += self.rng.randint(1, 5)
        if self.broken == "configuration" and self.version > 5:
            self.acknowledged.append((time.monotonic(), self.version))
            return  # acknowledged, but never written
        goes_back = (self.broken == "back" and len(self.acknowledged) > 1
                     and time.monotonic() - self.acknowledged[-1][0] > 1.5)
        named = self.acknowledged[-2][1] if goes_back else self.version
        rules = [{"name": f"r-{prefix}", "kind": "safe" if SERVICES[service][1] else "unsafe", "targetLatencyMs": 250,
                  "priority": list(SERVICES).index(service), "match": {"prefix": f"/{prefix}/"},
                  "authExempt": prefix == "open",
                  "action": {"service": service, "maxAttempts": worker.MOST_ATTEMPTS,
                             "timeoutMs": 9000 if self.broken in worker.LONG_S else 900,
                             "homeRegions": ["r2"] if prefix == "home" and self.broken != "home" else []}}
                 for prefix, service in ROUTES.items()]
        tenants = self.accounts.tenants()
        if self.broken == "removal":
            now = time.monotonic()
            tenants = self.accounts.tenants([key for key, it in self.accounts.keys.items() if it[2] < now])
        for it in tenants if self.broken == "quota" else ():
            it.pop("ratePerS", None)
        if self.broken == "tenant":
            for it in tenants[:2]:
                it["name"] = {"north": "south", "south": "north"}[it["name"]]
        if self.broken == "addition":  # only the first keys of the round
            for it in tenants:
                it["apiKeys"] = [key for key in it["apiKeys"] if self.accounts.keys[key][1] == 0.0]
        rules.append({"name": "r-version", "kind": "safe", "targetLatencyMs": 250, "priority": 2,
                      "match": {"prefix": f"/version-{named}/"},
                      "action": {"service": "read", "timeoutMs": 900, "maxAttempts": 1}})
        value = {"version": f"{self.version:08x}",
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 5000,
                            "idleTimeoutMs": 15000},
                 **({"tenants": tenants} if self.broken != "accounts" else {}),
                 "listeners": [{"host": "a.example", "ruleSet": rules}],
                 "clusters": [{"name": it, "healthPath": "/health", "maxConns": 200, "coldStartS": COLD_S,
                               "coldPerS": 0 if self.broken == "cold" else COLD_PER_S} for it in SERVICES]}
        await self.store.put("op/config", json.dumps(value).encode())
        if goes_back:
            return
        self.acknowledged.append((time.monotonic(), self.version))

    async def probe_versions(self):
        """Finds the active version of a node: the newest of the last versions whose own route it knows."""
        while not self.finished:
            await asyncio.sleep(0.25)
            node, now = self.rng.choice(self.nodes), time.monotonic()
            bound = max((version for at, version in self.acknowledged if at < now - APPLY_S), default=0)
            probed, found = [version for _, version in self.acknowledged[-8:]], set()
            for version in probed:
                incarnation = node.incarnation
                status = await self.probe_version(node, version)
                found.add(status)
                if status == 200 and incarnation == node.incarnation and not node.paused:
                    self.record.check_version(node, version, bound)
            if found == {404} and incarnation == node.incarnation and self.version == probed[-1]:
                self.record.check_version(node, probed[0] - 1, bound)  # or an even older one

    async def probe_version(self, node, version):
        """Returns the status of a request on the version's own route."""
        self.probes += 1
        request, target = f"probe-{self.probes}", f"/version-{version}/x"
        self.accounts.sent[request] = (self.probe_key, "north")
        self.record.sent[request] = (time.monotonic(), node, "read", True, target, b"")
        return await self.get(node.front, target, {"X-Request-Id": request, "X-Deadline-Ms": "1000",
                                                   "X-Api-Key": self.probe_key}, 2)

    async def check_newest_version(self):
        """In the calm at the end each node knows the newest version."""
        version = self.acknowledged[-1][1]
        for it in self.nodes:
            if await self.probe_version(it, version) == 404:
                self.record.fail("current", f"{it.name} does not know version {version} in the calm at the end")

    # The workers

    async def add_worker(self, service, zone, cold=True, old=None):
        """Adds a worker; `old` is the earlier process of the same one, from which its clock has stepped back."""
        port = self.bench.port()
        link = self.spare_links.pop(0) if not old and self.spare_links and self.rng.random() < 0.7 else None
        link = old.link if old else link
        if link is None:
            link = await proxy.Proxy(self.bench.port(), port).start()
        link.target = port
        name = old.name if old else f"i-{len(self.workers)}-{self.rng.randrange(10**6)}"
        it = worker.Worker(name, service, port, link.port, SLOTS, WORK_S, self.rng, self.record, self.broken, zone)
        it.link = link
        if old:  # until its entry is known, nodes can't tell the two processes apart
            it.born = old.born - self.rng.randint(1, 60000)
            it.turn_cold(COLD_S, APPLY_S, time.monotonic())
        elif cold:
            it.turn_cold(COLD_S)
        self.workers.append(await it.start())
        await self.store.put(f"servers/{it.name}", it.entry())
        return it

    async def retire(self, it, announces):
        """Removes a worker: it says so or its entry disappears. It exits at the bound or half a second later."""
        it.state = "draining"
        if self.broken != "drain":
            await self.store.put(f"servers/{it.name}", it.entry() if announces else None)
        self.record.leaving[it] = time.monotonic()
        await self.add_worker(it.service, it.zone)
        await asyncio.sleep(6 if self.broken == "drain" else DRAIN_S)
        if self.rng.random() < 0.5:
            it.exit()
        await asyncio.sleep(0.5)
        await it.end()
        it.link.reset_all()
        await self.store.put(f"servers/{it.name}", None)
        self.spare_links.append(it.link)

    def working(self):
        return [it for it in self.workers if it.state == "ready"]

    # The faults: each takes its duration

    async def worker_mood(self, lasts):
        it, behaviour = self.rng.choice(self.working()), self.rng.choice(worker.MOODS)
        self.log_event(f"{it.name} {behaviour} for {lasts:.1f} s")
        it.behaviour = behaviour
        await asyncio.sleep(lasts)
        it.behaviour = worker.HEALTHY

    async def worker_link(self, lasts):
        it, behaviour = self.rng.choice(self.working()), self.rng.choice(
            [proxy.DELAY, proxy.CUT_TO_TARGET, proxy.CUT_TO_CALLER, proxy.SILENT, proxy.REFUSE])
        self.log_event(f"link to {it.name} {behaviour} for {lasts:.1f} s")
        it.link.set_behaviour(behaviour, 0.1)
        await asyncio.sleep(lasts)
        it.link.set_behaviour(proxy.HEALTHY)
        it.link.reset_all()

    async def worker_leaves(self, _):
        it, announces = self.rng.choice(self.working()), self.rng.random() < 0.6
        self.log_event(f"{it.name} leaves {'and says so' if announces else 'by its entry'}")
        await self.retire(it, announces)

    async def worker_cools(self, _):
        it = self.rng.choice(self.working())
        self.log_event(f"{it.name} turns cold for {COLD_S} s")
        it.turn_cold(COLD_S, APPLY_S, time.monotonic())
        await self.store.put(f"servers/{it.name}", it.entry())

    async def worker_restarts(self, lasts):
        """A worker ends without a word and starts again with an earlier clock; later it leaves."""
        old, announces = self.rng.choice(self.working()), self.rng.random() < 0.6
        old.state = "ended"
        await old.end()
        old.link.reset_all()
        await asyncio.sleep(self.rng.uniform(0.05, 1))
        new = await self.add_worker(old.service, old.zone, old=old)
        self.log_event(f"{new.name} has started again, {old.born - new.born} ms earlier by its clock")
        await asyncio.sleep(lasts)
        if new.state == "ready":
            self.log_event(f"{new.name} leaves {'and says so' if announces else 'by its entry'}")
            await self.retire(new, announces)

    async def watch_cut(self, _):
        self.log_event("the watches of the store are cut")
        self.store.cut_watches(2 * UNDISTURBED_S)

    async def store_link_slow(self, lasts):
        """A slow link delays nothing beyond a bound, so the node counts as undisturbed."""
        node = self.rng.choice(self.nodes)
        if not node.store_link.is_healthy():
            return
        self.log_event(f"link of {node.name} to the store slow for {lasts:.1f} s")
        node.store_link.set_behaviour(proxy.SLOW)
        await asyncio.sleep(lasts)
        if node.store_link.behaviour == proxy.SLOW:
            node.store_link.set_behaviour(proxy.HEALTHY)

    async def node_link(self, lasts):
        """Disturbs one link: of a node to the store, or of all other nodes to a seed."""
        node = self.rng.choice(self.nodes)
        link = self.rng.choice([node.store_link, *self.seed_links])
        behaviour = self.rng.choice([proxy.DELAY, proxy.CUT_TO_TARGET, proxy.CUT_TO_CALLER, proxy.SILENT, proxy.REFUSE])
        to_store = link is node.store_link
        self.log_event(f"link {'of ' + node.name + ' to the store' if to_store else 'to a seed'} {behaviour} "
                       f"for {lasts:.1f} s")
        link.set_behaviour(behaviour, 0.2)
        if link.behaviour == proxy.REFUSE:
            link.reset_all()
        until = time.monotonic() + lasts
        while time.monotonic() < until:
            if to_store:
                node.mark_disturbed()
            await asyncio.sleep(0.1)
        link.set_behaviour(proxy.HEALTHY)
        if to_store:
            node.mark_disturbed()

    async def store_mood(self, lasts):
        behaviour = self.rng.choice([store.UNAVAILABLE, store.RATE_LIMITED, store.RESET, store.SILENT])
        self.log_event(f"store {behaviour} for {lasts:.1f} s")
        self.store.set_behaviour(behaviour)
        await asyncio.sleep(lasts)
        self.store.set_behaviour(store.HEALTHY)

    async def store_returns(self, lasts):
        await drill.play(self, lasts)

    async def store_forgets(self, _):
        self.log_event("store drops its history")
        self.store.drop_history()

    async def node_pauses(self, lasts):
        node = self.rng.choice(self.nodes)
        self.log_event(f"{node.name} stands still for {lasts:.1f} s")
        node.mark_disturbed()
        node.paused = True
        node.send(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        node.send(signal.SIGCONT)
        node.paused = False
        node.mark_disturbed()

    async def node_killed(self, lasts):
        killed = self.rng.sample(self.nodes, self.rng.choice([1, 1, 2, len(self.nodes)]))
        for node in self.nodes[-1:] if self.broken == "exit" else killed:
            self.log_event(f"{node.name} is killed")
            node.mark_disturbed()
            node.process.kill()
            node.incarnation += 1
            self.tasks.append(asyncio.create_task(self.start_later(node, min(lasts, 1.5))))

    async def start_later(self, node, pause):
        await asyncio.sleep(pause)
        if not node.process.alive() and not self.finished and self.broken != "exit":
            node.process.start()
            node.mark_disturbed()

    async def node_restarts(self, _):
        """A planned restart: no request sent to the node may be lost."""
        node = self.rng.choice(self.nodes)
        if not node.process.alive() or node.paused:
            return
        self.log_event(f"{node.name} is stopped{' again' if node.stopping else ' and started'}")
        node.planned_at = time.monotonic()
        node.send(signal.SIGKILL if self.broken == "lost" else signal.SIGTERM)
        if self.broken == "grace":
            node.send(signal.SIGSTOP)
        if node.stopping:
            return  # a second signal while it stops; the first call waits for its end
        node.stopping = True
        ended = await asyncio.to_thread(self.wait_end, node)
        if ended is None and time.monotonic() - node.disturbed_at > GRACE_S + UNDISTURBED_S:
            self.record.fail("grace", f"{node.name} had to be killed {GRACE_S} s after its stop signal")
        node.incarnation += 1
        node.planned_at = time.monotonic()
        if not node.process.alive() and not self.finished:
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
        node = self.rng.choice(self.nodes)
        self.log_event(f"{node.name} reads its settings again")
        node.send(signal.SIGHUP)

    async def configurations(self, _):
        changes = self.rng.choice([1, 1, 6])
        self.log_event(f"{changes} configurations")
        for _ in range(changes):
            await self.configure()
            await asyncio.sleep(0.2)

    async def key_changes(self, _):
        """Removes a key of an account and adds another, in one version of the configuration."""
        account = self.rng.choice(("south", "small"))
        old, new = self.rng.choice(self.accounts.current(account)), self.accounts.add(account)
        self.log_event(f"{new} in place of {old}")
        self.record.stats["key changes"] += 1
        self.accounts.withdrawn.add(old)
        await self.configure()
        now = time.monotonic()
        self.accounts.keys[old][2], self.accounts.keys[new][1] = now, now

    async def evacuation(self, lasts):
        zone = self.rng.choice(ZONES)
        if self.evacuated:
            return
        self.evacuated = zone
        self.log_event(f"{zone} is evacuated for {lasts + 6:.1f} s")
        if self.broken != "evacuation":
            await self.store.put(f"op/evacuate/{zone}", b"1")
        self.record.evacuated[zone] = time.monotonic()
        await asyncio.sleep(lasts + 6)  # the bound is 5 s
        since = self.record.evacuated.pop(zone)
        self.log_event(f"{zone} is taken back")
        for it in self.working():
            if it.zone == zone:
                it.turn_cold(COLD_S, 0.0, since)
        await self.store.put(f"op/evacuate/{zone}", None)
        self.evacuated = ""

    # A round

    async def start(self):
        nodes, workers, _ = self.counts
        self.store = await store.Store(self.bench.port()).start()
        self.store.names_new_era = self.broken != "era"
        await self.configure()
        for service in SERVICES:
            for n in range(workers):
                await self.add_worker(service, ZONES[n % len(ZONES)], cold=False)
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
                 self.configurations, self.worker_cools, self.worker_restarts, self.watch_cut, self.store_link_slow]
        # Few kinds in each run: with all of them at once, time bounds would hardly ever apply.
        kinds = self.rng.sample(kinds, self.rng.randint(2, 5))
        kinds += [it for it in (self.key_changes, self.evacuation) if self.rng.random() < 0.5]
        kinds += [self.store_returns] if self.also == "drill" or self.rng.random() < 0.3 else []
        if self.broken:  # only the fault that the broken guarantee needs, or a harmless one
            kinds = [getattr(self, FAULT_OF.get(self.broken, "settings_change"))]
        self.log_event("kinds: " + ", ".join(it.__name__ for it in kinds))
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            kind = self.rng.choice(kinds)
            self.tasks.append(asyncio.create_task(kind(self.rng.uniform(0.3, 4.0))))
            await asyncio.sleep(self.rng.choice([0.0, 0.1, self.rng.uniform(0.5, 4.0)]))

    async def settle(self):
        """Waits for the faults to end, and checks that the system recovers without help."""
        while self.tasks:
            tasks, self.tasks = self.tasks, []
            await asyncio.gather(*tasks)
        self.log_event("calm")
        for it in self.working() if self.broken == "recover" else ():
            it.behaviour = worker.ERRORS
        await asyncio.sleep(UNDISTURBED_S + 2)
        before = dict(self.record.counts)
        await asyncio.sleep(3)
        gained = {key: n - before.get(key, 0) for key, n in self.record.counts.items()}
        gained.pop("left", None)
        gained.pop("refused by account", None)
        if gained.get(200, 0) < RECOVERED_SHARE * sum(gained.values()):
            self.record.fail("recover", f"in the calm at the end came {gained}")
        await self.check_newest_version()

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(self.report_problem)
        with Bench() as self.bench:
            await self.start()
            self.began = time.monotonic()
            callers = [asyncio.create_task(Caller(self, n).run()) for n in range(self.counts[2])]
            monitors = [asyncio.create_task(it) for it in (self.watch_readiness(), self.probe_versions())]
            await self.faults()
            await self.settle()
            for it in self.nodes:
                if not it.process.alive():
                    self.record.fail("exit", f"{it.name} ended with {it.process.popen.returncode}")
            self.finished = True
            await asyncio.gather(*callers, *monitors)
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
        """Ignores cancelled stand-ins that still hold a connection at the end; other errors are bugs in the test."""
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            loop.default_exception_handler(context)

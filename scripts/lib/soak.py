"""Rounds of random faults, tickets and load; the invariants are checked after each round."""

import threading
import time

from damaskbench import Bench, http
from system import TOKEN, System, TargetGroup

CENTRES = [("zh1", "ch"), ("zh2", "ch"), ("be1", "we")]
CALLS = "GET /listings/a?b=1 6 | POST /reservations 2 body=300 | PUT /claims/x 1 body=50 | GET /listings 1 chain=3"
CALM_SECONDS = 6        # fault-free phase at the end of a round
SETTLE_SECONDS = 45     # time to converge; a ticket may wait for a paused or replaced instance
MUST_BE_ZERO = ("lost", "doubled", "not_run_but_ran", "wrong_answer", "cut")


class Soak:
    """Runs all rounds against one system."""

    def __init__(self, rng, seed, round_seconds):
        self.rng, self.seed, self.round_seconds = rng, seed, round_seconds
        self.timeline, self.failures = [], []
        self.started = time.monotonic()
        self.calls = self.tickets = self.events = 0

    def log_event(self, what):
        self.timeline.append(f"{time.monotonic() - self.started:8.2f} s  {what}")

    def run(self, seconds):
        groups = [TargetGroup(name, count=count, slots=6, service_ms=8, data_centres=[it[0] for it in CENTRES])
                  for name, count in (("listings", 9), ("reservations", 6), ("claims", 6))]
        with Bench() as bench:
            system = System(bench, CENTRES, 1, groups, seed=self.seed)
            system.start()
            number = 0
            while time.monotonic() - self.started < seconds and not self.failures:
                number += 1
                self.timeline = []
                self.round(system, number)
                print(f"round {number}: {self.calls} calls, {self.events} events, {self.tickets} tickets so far, "
                      f"{'FAILED' if self.failures else 'holds'}", flush=True)
            codes = system.exit_codes()
            if any(codes):
                self.failures.append(f"exit codes at the end: {codes}")
            bench.failures += self.failures
        if self.failures:
            print(f"seed {self.seed}, round {number}", *self.timeline, *self.failures, sep="\n")
            return 1
        print(f"seed {self.seed}: {number} rounds, {self.calls} calls, {self.events} events, {self.tickets} tickets, "
              "all held")
        return 0

    def round(self, system, number):
        plan = sorted(self.draw_events(system), key=lambda it: it[0])
        load = {"rate": str(self.rng.choice([200, 400, 600])), "length": str(self.round_seconds), "workers": "200",
                "deadline-ms": str(self.rng.choice([300, 1000, 2000])), "calls": CALLS,
                "seed": str(self.rng.randrange(10**6))}
        results = {}
        thread = threading.Thread(target=lambda: results.update(system.load("soak", load)))
        thread.start()
        begun = time.monotonic()
        threads = [thread]
        for at, what, action in plan:
            time.sleep(max(0.0, begun + at - time.monotonic()))
            self.log_event(what)
            # Each action has its own thread: a replacement that waits must not delay the end of a pause.
            threads.append(threading.Thread(target=self.act, args=(what, action)))
            threads[-1].start()
        for it in threads:
            it.join()
        self.calls += results["calls"]
        self.events += len(plan)
        self.check(system, results, number)

    def act(self, what, action):
        try:
            action()
        except RuntimeError as error:
            self.failures.append(f"{what}: {error}")

    def draw_events(self, system):
        """Yields (time, description, action) for a round; each fault ends before the fault-free phase."""
        last = self.round_seconds - CALM_SECONDS
        for _ in range(self.rng.randint(2, 6)):
            at = self.rng.uniform(1, last - 1)
            lasts = self.rng.uniform(0.2, last - at)
            spec = self.draw_fault(system)
            begin, end = system.fault(spec)
            description = " ".join(f"{key}={value}" for key, value in spec.items())
            yield at, f"begin {description}", begin
            if end is not None:
                yield at + lasts, f"end {description}", end
        for _ in range(self.rng.randint(0, 3)):
            pools = [self.rng.choice(system.groups) for _ in range(2)]
            drains = [self.rng.sample(range(it.count), self.rng.randint(0, it.count // 3)) for it in pools]
            yield (self.rng.uniform(0.5, last), f"race of tickets on {pools[0].name} and {pools[1].name}",
                   lambda pools=pools, drains=drains: self.race(system, pools, drains))

    def draw_fault(self, system):
        group = self.rng.choice(system.groups)
        names = [group.target_name(n) for n in self.rng.sample(range(group.count), self.rng.randint(1, 2))]
        instance = self.rng.choice(system.instances)
        kind = self.rng.choice(["slow-factor", "fail-fast", "draining", "hide-drain", "shed-share", "silent", "frozen",
                                 "truncate", "close-after-read", "lie-idle", "load-lag-ms", "noise", "crash",
                                 "store-down", "store-slow", "store-lossy", "pause", "kill", "replace"])
        spec = {"kind": kind, "on": " ".join(names)}
        if kind == "noise":
            spec |= {"kind": "noise-factor", "noise-factor": "5", "noise-period-ms": "4"}
        elif kind == "hide-drain":
            spec |= {"kind": "draining", "draining": "yes", "hide-drain": "yes"}
        elif kind in ("slow-factor", "shed-share", "load-lag-ms"):
            spec["value"] = {"slow-factor": "10", "shed-share": "0.5", "load-lag-ms": "500"}[kind]
        elif kind == "crash":
            spec["on"] = names[0]
        elif kind in ("pause", "kill"):
            spec["on"] = f"keeper-{instance.name}"
        elif kind == "replace":
            spec["on"] = self.rng.choice([f"keeper-{instance.name}", f"entry-{instance.name}"])
        return spec

    def race(self, system, pools, drains):
        """Two operators submit tickets based on the same state to two keepers; if they conflict, one must be refused."""
        texts = []
        for group, drained in zip(pools, drains):
            names = [group.target_name(n) for n in drained]
            texts.append(system.ticket({f"pool {group.name}": system.pool_lines(group, draining=names)}, "race",
                                       "allow-capacity-loss = yes"))
        codes = [None, None]

        def submit(n):
            codes[n] = system.submit_text(texts[n], system.instances[n], "5 s")[0]

        threads = [threading.Thread(target=submit, args=(n,)) for n in range(2)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        self.tickets += 2
        self.log_event(f"race ended with exit codes {codes}")
        if pools[0] is pools[1] and codes == [0, 0]:
            self.failures.append("two tickets built on one view of the same pool were both accepted")

    def check(self, system, results, number):
        for it in MUST_BE_ZERO:
            if results[it]:
                self.failures.append(f"{it}: {results[it]}; first fault {results['first_fault']}")
        for name, process in system.bench.processes.items():
            if not process.alive():
                self.failures.append(f"{name} ended with {process.popen.returncode}: "
                                     f"{process.log.read_text()[-1500:]}")
        if self.failures:
            return
        until = time.monotonic() + SETTLE_SECONDS
        views = self.views(system)
        while len(set(views)) != 1 and time.monotonic() < until:
            time.sleep(0.5)
            views = self.views(system)
        if len(set(views)) != 1 or "[pool listings]" not in views[0]:
            self.failures.append(f"keepers disagree {SETTLE_SECONDS} s after round {number}: "
                                 + " | ".join(it[:200] for it in views))
        system.refresh_versions()

    @staticmethod
    def views(system):
        return [http("GET", it.keeper_operate, "/configuration", token=TOKEN)[1] for it in system.instances]

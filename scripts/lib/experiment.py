"""Experiments as INI files: a topology, loads, timed faults, and bounds on the results.

[experiment]   title, length (s), seed
[topology]     data-centres = zh1:ch zh2:ch ...; entries = N for each data centre
[targets NAME] count, slots, service-time-ms, spread, data-centres, cold-start-ms: one service and its pool
[service NAME] settings of the service as in a ticket (hedge = yes, ...)
[load NAME]    at (s), length (s), rate, workers, deadline-ms, calls = METHOD PATH WEIGHT [chain=N] [body=N] | ...
[fault NAME]   at (s), for (s), kind, on, and the kind's values
[must]         figure = bound (a number; "least FIGURE" for lower bounds)
"""

import configparser
import threading
import time

from damaskbench import figure
from system import System, TargetGroup

TARGET_FAULTS = {"slow-factor", "fail-fast", "draining", "hide-drain", "shed-share", "silent", "frozen", "truncate",
                 "close-after-read", "lie-idle", "load-lag-ms", "noise-factor", "noise-period-ms"}
NEUTRAL = {"slow-factor": "1", "shed-share": "0", "load-lag-ms": "0", "noise-factor": "1", "noise-period-ms": "0"}


class Experiment:
    """One experiment file, parsed completely before any process starts."""

    def __init__(self, path):
        parser = configparser.ConfigParser(interpolation=None)
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
        self.path = path
        self.head = dict(parser["experiment"])
        self.topology = dict(parser["topology"])
        self.groups, self.loads, self.faults, self.services = {}, {}, {}, {}
        kinds = {"targets": self.groups, "load": self.loads, "fault": self.faults, "service": self.services}
        for section in parser.sections():
            kind, _, name = section.partition(" ")
            if kind in kinds:
                kinds[kind][name] = dict(parser[section])
            elif section not in ("experiment", "topology", "must"):
                raise SystemExit(f"{path}: unknown section [{section}]; there are: experiment, topology, must, "
                                 + ", ".join(f"{it} NAME" for it in kinds))
        self.must = dict(parser["must"]) if parser.has_section("must") else {}
        self.length = float(self.head.get("length", "10"))

    def build(self, bench):
        """Creates the System that the file describes."""
        centres = [tuple(it.split(":")) for it in self.topology.get("data-centres", "zh1:ch zh2:ch").split()]
        groups = []
        for name, it in self.groups.items():
            groups.append(TargetGroup(name, count=int(it.get("count", "3")), slots=int(it.get("slots", "6")),
                                      service_ms=float(it.get("service-time-ms", "10")),
                                      spread=float(it.get("spread", "0.5")),
                                      cold_start_ms=float(it.get("cold-start-ms", "0")),
                                      data_centres=it.get("data-centres", "").split() or [c[0] for c in centres],
                                      service=self.services.get(name, {})))
        return System(bench, centres, int(self.topology.get("entries", "1")), groups,
                      seed=int(self.head.get("seed", "1")))

    def run(self, bench, case="experiment", **labels):
        """Runs the experiment, prints its figures, and returns the violated bounds."""
        system = self.build(bench)
        system.start()
        results = {}
        self.run_timeline(system, results)
        return self._report(system, results, case, labels)

    def run_timeline(self, system, results):
        """Runs all faults and loads to their end, and stores each load's summary in results by its name."""
        started = time.monotonic()
        timeline = sorted(self._events(system), key=lambda it: it[0])
        threads = [threading.Thread(target=self._play, args=(timeline, started))]
        threads += [threading.Thread(target=self._load, args=(system, name, it, started, results))
                    for name, it in self.loads.items()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _events(self, system):
        for name, it in self.faults.items():
            at, lasts = float(it.get("at", "0")), float(it.get("for", "0"))
            begin, end = system.fault(it)
            yield at, f"{name} begins", begin
            if end is not None and lasts > 0:
                yield at + lasts, f"{name} ends", end

    @staticmethod
    def _play(timeline, started):
        for at, what, action in timeline:
            time.sleep(max(0.0, started + at - time.monotonic()))
            print(f"{time.monotonic() - started:7.2f} s  {what}", flush=True)
            action()

    @staticmethod
    def _load(system, name, it, started, results):
        time.sleep(max(0.0, started + float(it.get("at", "0")) - time.monotonic()))
        results[name] = system.load(name, it)

    def _report(self, system, results, case, labels):
        total = {}
        for name, it in results.items():
            for key in ("calls", "succeeded", "p50", "p99", "p999", "lost", "doubled", "not_run_but_ran",
                        "wrong_answer", "cut", "last_bad_s"):
                unit = "ms" if key in ("p50", "p99", "p999") else "s" if key == "last_bad_s" else "calls"
                figure(case, key, it[key], unit, load=name, **labels)
                total[key] = max(total.get(key, 0), it[key])
            total["success_share"] = min(total.get("success_share", 1), it["succeeded"] / max(1, it["calls"]))
            figure(case, "success_share", it["succeeded"] / max(1, it["calls"]), "share", load=name, **labels)
            if it["first_fault"]:
                print(f"first fault of {name}: {it['first_fault']}", flush=True)
        total["exits"] = sum(1 for it in system.exit_codes() if it != 0)
        broken = []
        for key, bound in self.must.items():
            least = key.startswith("least ")
            value = total.get(key.removeprefix("least "), 0)
            if (value < float(bound)) if least else (value > float(bound)):
                broken.append(f"{key}: {value}, bound {bound}")
        for it in broken:
            print(f"DOES NOT HOLD: {it}", flush=True)
        return broken

"""A small damaskflow: store, targets, and one keeper and entry on each instance, configured by a ticket."""

import dataclasses
import itertools
import json
import re
import signal
import subprocess
import urllib.parse

from damaskbench import BIN, http

TOKEN = "bench-token"


@dataclasses.dataclass
class TargetGroup:
    """One service with its pool of targets, all in one process."""
    name: str
    count: int = 3
    slots: int = 6
    service_ms: float = 10
    spread: float = 0.5
    cold_start_ms: float = 0
    data_centres: list = dataclasses.field(default_factory=list)
    service: dict = dataclasses.field(default_factory=dict)
    first_port: int = 0
    control_port: int = 0

    def target_name(self, n):
        return f"{self.name}{n + 1}"


@dataclasses.dataclass
class Instance:
    """One instance: its keeper and its entry."""
    name: str
    data_centre: str
    entry_port: int
    entry_operate: int
    keeper_operate: int
    keeper_link: int
    keeper_peer: int


class System:
    """Starts and controls the system; the bench owns every process and stops it."""

    def __init__(self, bench, centres, entries_each, groups, seed=1):
        self.bench, self.centres, self.groups, self.seed = bench, centres, groups, seed
        self.store_port = bench.port()
        for group in groups:
            group.data_centres = group.data_centres or [it[0] for it in centres]
            group.first_port = bench.port(group.count)
            group.control_port = bench.port()
        self.instances = []
        for centre, _ in centres:
            for n in range(entries_each):
                self.instances.append(Instance(f"{centre}-{n + 1}", centre, *[bench.port() for _ in range(5)]))
        self.ticket_number = 0
        self.versions = {}
        self.run_number = itertools.count(1)
        self.expected_exits = set()
        self.front = {}  # settings of the entries' front that differ from the defaults

    # Starting

    def start(self, with_targets=True):
        self.start_store()
        for group in self.groups if with_targets else []:
            self.start_targets(group)
        for instance in self.instances:
            self.start_keeper(instance)
            self.start_entry(instance)
        for instance in self.instances:
            self.bench.wait_ready(f"keeper-{instance.name}", instance.keeper_operate, "/healthz")
            self.bench.wait_ready(f"entry-{instance.name}", instance.entry_operate, "/healthz")
        self.submit(self.first_ticket())
        for instance in self.instances:
            self.bench.wait_ready(f"entry-{instance.name}", instance.entry_operate)

    def start_store(self):
        self.bench.start("store", "damask-store", {"listen": {"port": self.store_port}})
        self.bench.wait("the store", lambda: http("GET", self.store_port, "/stats")[0] == 200)
        for instance in self.instances:
            self.list_instance(instance)

    def list_instance(self, instance):
        self.store_fault({"add": {"name": instance.name, "dataCentre": instance.data_centre,
                                  "region": dict(self.centres)[instance.data_centre],
                                  "keeper": f"tcp://127.0.0.1:{instance.keeper_peer}",
                                  "entry": f"127.0.0.1:{instance.entry_port}"}})

    def start_targets(self, group):
        self.bench.start(f"targets-{group.name}", "damask-target", {
            "targets": {"first-port": group.first_port, "count": group.count, "name-prefix": group.name,
                        "slots": group.slots, "service-time": f"{group.service_ms} ms", "spread": group.spread,
                        "cold-start": f"{group.cold_start_ms} ms", "seed": self.seed},
            "control": {"port": group.control_port},
            "chain": {"entry-port": self.instances[0].entry_port}})
        self.bench.wait(f"targets of {group.name}", lambda: http("GET", group.control_port, "/status")[0] == 200)

    def start_keeper(self, instance):
        region = dict(self.centres)[instance.data_centre]
        self.bench.start(f"keeper-{instance.name}", "damask-keeper", self.keeper_settings(instance, region))

    def start_entry(self, instance):
        self.bench.start(f"entry-{instance.name}", "damask-entry", self.entry_settings(instance))

    def keeper_settings(self, instance, region):
        return {"instance": {"name": instance.name, "data-centre": instance.data_centre, "region": region},
                "store": {"address": "127.0.0.1", "port": self.store_port},
                "entry": {"listen": f"tcp://127.0.0.1:{instance.keeper_link}"},
                "peers": {"listen": f"tcp://127.0.0.1:{instance.keeper_peer}",
                          "seeds": " ".join(f"tcp://127.0.0.1:{it.keeper_peer}" for it in self.instances
                                            if it is not instance)},
                "operate": {"port": instance.keeper_operate, "token": TOKEN}}

    def entry_settings(self, instance):
        return {"instance": {"name": instance.name, "data-centre": instance.data_centre},
                "front": {"port": instance.entry_port, **self.front},
                "keeper": {"endpoint": f"tcp://127.0.0.1:{instance.keeper_link}"},
                "operate": {"port": instance.entry_operate, "token": TOKEN},
                "stop": {"notice": "1 s"}}

    # Tickets

    def ticket(self, sections, comment="bench", extra=""):
        """The text of the next ticket; sections: {header: [lines]} with the complete new state of each."""
        self.ticket_number += 1
        out = [f"[ticket]\nnumber = {self.ticket_number}\noperator = bench\ncomment = {comment}\n{extra}"]
        for header, lines in sections.items():
            out.append(f"[{header}]\nbased-on = {self.versions.get(header, 0)}\n" + "\n".join(lines) + "\n")
        return "\n".join(out)

    def pool_lines(self, group, without=(), draining=()):
        lines = []
        for n in range(group.count):
            name = group.target_name(n)
            if name not in without:
                centre = group.data_centres[n % len(group.data_centres)]
                lines.append(f"target-{name} = 127.0.0.1:{group.first_port + n} data-centre={centre} "
                             f"slots={group.slots} draining={'yes' if name in draining else 'no'}")
        return lines

    def first_ticket(self):
        sections = {}
        for centre, region in self.centres:
            sections[f"data-centre {centre}"] = [f"region = {region}"]
        for group in self.groups:
            sections[f"pool {group.name}"] = self.pool_lines(group)
            sections[f"service {group.name}"] = [f"pool = {group.name}"] + [f"{k} = {v}"
                                                                           for k, v in group.service.items()]
            sections[f"rule {group.name}"] = [f"prefix = /{group.name}", f"service = {group.name}"]
        return self.ticket(sections, "the first state")

    def submit(self, text, wait="20 s", instance=None):
        """Submits through damaskctl and waits until the ticket is in force; returns its exit code and output."""
        code, output = self.submit_text(text, instance or self.instances[0], wait)
        if code == 0:
            for line in text.splitlines():
                if line.startswith("[") and line != "[ticket]":
                    self.versions[line[1:-1]] = self.versions.get(line[1:-1], 0) + 1
        return code, output

    def submit_text(self, text, instance, wait):
        """Like submit(), without tracking versions; thread-safe."""
        number = re.search(r"^number = (\d+)", text, re.MULTILINE).group(1)
        path = self.bench.folder / f"ticket{number}.ini"
        path.write_text(text)
        token = self.bench.folder / "token"
        token.write_text(TOKEN)
        done = subprocess.run([str(BIN / "damaskctl"), "ticket", "submit", str(path),
                               f"--keeper=127.0.0.1:{instance.keeper_operate}", f"--token-file={token}",
                               f"--wait={wait}"], capture_output=True, text=True, check=False)
        return done.returncode, done.stdout + done.stderr

    def refresh_versions(self):
        """Reads the current versions from a keeper, as an operator does before the next ticket."""
        header = None
        for line in self.configuration().splitlines():
            if line.startswith("["):
                header = line[1:-1]
            elif line.startswith("based-on") and header:
                self.versions[header] = int(line.partition("=")[2])

    # Load

    def load_settings(self, spec):
        calls = spec.get("calls", "GET /" + self.groups[0].name + " 1").split("|")
        keys = ("one", "two", "three", "four")
        kinds = {}
        for key, call in zip(keys, calls):
            method, path, *rest = call.split()
            kinds[key] = " ".join([method, "-", path, *rest])
        return {"load": {"entries": " ".join(f"127.0.0.1:{it.entry_port}" for it in self.instances),
                         "rate": spec.get("rate", "100"), "length": f"{spec.get('length', '5')} s",
                         "deadline": f"{spec.get('deadline-ms', '2000')} ms", "workers": spec.get("workers", "64"),
                         "seed": spec.get("seed", self.seed), "run-name": f"run{next(self.run_number)}"},
                "calls": kinds,
                "ledger": {"targets": " ".join(f"127.0.0.1:{it.control_port}" for it in self.groups)}}

    def load(self, name, spec):
        return self.bench.load(self.load_settings(spec))

    # Faults

    def target_fault(self, name, values):
        """Sets faults of one target by its name, or of all targets with *."""
        for group in self.groups:
            if name == "*" or any(group.target_name(n) == name for n in range(group.count)):
                query = urllib.parse.urlencode({"target": name, **values})
                status, text = http("POST", group.control_port, f"/fault?{query}", "")
                if status != 200:
                    raise RuntimeError(f"fault on {name}: {text}")

    def store_fault(self, values):
        status, text = http("POST", self.store_port, "/fault", json.dumps(values))
        if status != 200:
            raise RuntimeError(f"fault on the store: {text}")

    def fault(self, spec):
        """Returns the (begin, end) actions of a fault section; end is None if the fault ends by itself."""
        from experiment import NEUTRAL, TARGET_FAULTS
        kind, on = spec["kind"], spec.get("on", "*")
        if kind in TARGET_FAULTS:
            values = {it: spec[it] for it in spec if it in TARGET_FAULTS} or {kind: spec.get("value", "yes")}
            neutral = {it: NEUTRAL.get(it, "no") for it in values}
            names = on.split()
            return (lambda: [self.target_fault(it, values) for it in names],
                    lambda: [self.target_fault(it, neutral) for it in names])
        if kind == "crash":
            return lambda: [http("POST", it.control_port, f"/crash?target={on}", "") for it in self.groups], None
        if kind == "store-down":
            return lambda: self.store_fault({"down": True}), lambda: self.store_fault({"down": False})
        if kind == "store-slow":
            return (lambda: self.store_fault({"slow-ms": float(spec.get("value", "500"))}),
                    lambda: self.store_fault({"slow-ms": 0}))
        if kind == "store-lossy":
            return (lambda: self.store_fault({"lose-confirmations": True}),
                    lambda: self.store_fault({"lose-confirmations": False}))
        if kind == "pause":
            return (lambda: self.bench.processes[on].signal(signal.SIGSTOP),
                    lambda: self.bench.processes[on].signal(signal.SIGCONT))
        if kind == "kill":
            return lambda: self.kill(on), lambda: self.bench.processes[on].start()
        if kind == "replace":
            return lambda: self.replace(on.split()), None
        if kind == "ticket":
            return lambda: self.drain_ticket(on.split(), spec.get("draining", "yes") == "yes"), None
        raise SystemExit(f"no such fault: {kind}")

    def kill(self, name):
        self.expected_exits.add(name)
        self.bench.processes[name].kill()

    def replace(self, names):
        """Restarts processes gracefully, one after the other; "entries" and "keepers" select all of a kind."""
        for word in names:
            prefix = {"entries": "entry-", "keepers": "keeper-"}.get(word, word)
            for name in [it for it in self.bench.processes if it.startswith(prefix)]:
                code = self.bench.processes[name].stop()
                if code != 0:
                    self.bench.failures.append(f"{name} ended with {code}")
                self.bench.processes[name].start()
                instance = next((it for it in self.instances if name.endswith(it.name)), None)
                if name.startswith("entry-"):
                    self.bench.wait_ready(name, instance.entry_operate)
                elif name.startswith("keeper-"):
                    self.bench.wait_ready(name, instance.keeper_operate)

    def drain_ticket(self, names, draining):
        sections = {}
        for group in self.groups:
            wanted = [it for it in names if it.startswith(group.name)]
            if wanted:
                sections[f"pool {group.name}"] = self.pool_lines(group, draining=wanted if draining else ())
        return self.submit(self.ticket(sections, "drain", "allow-capacity-loss = yes"))

    # Queries

    def configuration(self):
        """Returns the accepted configuration as the INI text of a ticket."""
        return http("GET", self.instances[0].keeper_operate, "/configuration", token=TOKEN)[1]

    def status(self, port):
        code, text = http("GET", port, "/status", token=TOKEN)
        return json.loads(text) if code == 200 else {}

    def exit_codes(self):
        """Stops all processes; returns the exit codes of those that were not killed on purpose."""
        self.bench.stop_all()
        return [it.popen.returncode for name, it in self.bench.processes.items() if name not in self.expected_exits]

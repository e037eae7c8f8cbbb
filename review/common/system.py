"""Starts node processes on loopback with the command and the settings template of the deploy file, and ends only the
processes that it started."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# globo-recupera-grown: its bounds, and its larger machines
BOUNDS = {"configApplyMs": 3000, "drainMs": 3000, "graceS": 6, "retryBudgetRatio": 0.2, "retryWindowS": 10}
LIMITS = {"memoryMb": 512, "maxFds": 8192, "linkMbps": 200.0}
ZONES = {"z1": "r1"}
NO_CASE = 2  # exit code when the case could not run


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def lookup(names, context):
    value = context
    for it in names.split("."):
        value = value.get(it) if isinstance(value, dict) else None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def render(text, context):
    """Fills in the placeholders and sections of a settings template (DEPLOY.md, Settings of a process)."""
    def section(match):
        negated, name, inner = match[1] == "^", match[2], match[3]
        value = lookup(name, context)
        if negated:
            return inner if not value else ""
        if isinstance(value, dict):
            return "".join(inner.replace("{{@}}", key).replace("{{.}}", as_text(it)) for key, it in value.items())
        return inner if value else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: as_text(lookup(it[1], context)), text)


class Network:
    """Loopback addresses of one run: 127.A.B.N, with A and B drawn until their ports are free."""

    def __init__(self):
        while True:
            self.prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
            self.number = 0
            if self.free(f"{self.prefix}.1", 9464):
                return

    @staticmethod
    def free(ip, port):
        with socket.socket() as it:
            try:
                it.bind((ip, port))
                return True
            except OSError:
                return False

    def ip(self):
        self.number += 1
        return f"{self.prefix}.{self.number}"


class Node:
    """One process of the deploy file's role."""

    def __init__(self, folder, name, ip, store_address, seeds=None):
        text = (ROOT / "deploy/system.toml").read_text()
        run, template = (re.search(rf'^{it} = "(.*)"$', text, re.M)[1] for it in ("run", "template"))
        self.name, self.ip = name, ip
        self.front, self.ready, self.control = (ip, 8548), (ip, 8542), f"{ip}:8544"
        self.seeds = seeds if seeds is not None else [self.control]
        context = {"node": name, "ip": ip, "zone": "z1", "zones": ZONES, "limits": LIMITS, "bounds": BOUNDS,
                   "bootstrap": False, "seeds": self.seeds,
                   "platform": {"address": "%s:%d" % store_address},
                   "listen": {"front": f"{ip}:8548", "ready": f"{ip}:8542", "control": self.control}}
        settings = pathlib.Path(folder) / f"{name}.settings"
        settings.write_text(render((ROOT / template).read_text(), context))
        self.command = [it.replace("/etc/damaskflow/boot.json", str(settings)) for it in run.split()]
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        return self

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def end(self):
        if self.alive():
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, seconds=15):
        """Asks for readiness until it is 200, as the platform does."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.readiness() == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def readiness(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 0.9)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.9)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (pathlib.Path(folder) / "record.txt").open("w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def configuration(version, routes, attempts=2):
    """One version of op/config. routes: {service: (kind, prefix, timeout in ms, objective in ms)}."""
    rules = [{"name": f"r-{name}", "kind": kind, "targetLatencyMs": objective, "priority": n,
              "match": {"prefix": prefix}, "action": {"service": name, "timeoutMs": timeout, "maxAttempts": attempts}}
             for n, (name, (kind, prefix, timeout, objective)) in enumerate(routes.items())]
    return json.dumps({
        "version": f"{version:08x}",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "listeners": [{"host": "a.example", "ruleSet": rules}],
        "clusters": [{"name": it, "healthPath": "/health", "maxConns": 1100, "protocol": "h1", "tls": False}
                     for it in routes]}).encode()


def main(folder, case, seconds=115):
    """Runs case(folder, record, network, nodes) and exits with 1 if it returns broken rules, 0 if none."""
    record = Record(folder)
    nodes = []
    broken = None

    async def limited(temporary):
        return await asyncio.wait_for(case(temporary, record, Network(), nodes), seconds)

    with tempfile.TemporaryDirectory(prefix="damask-review-") as temporary:
        try:
            broken = asyncio.run(limited(temporary))
        except Exception as error:  # pylint: disable=broad-except
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
        finally:
            for it in nodes:
                it.end()
            if os.environ.get("KEEP_LOGS"):
                for it in nodes:
                    pathlib.Path(os.environ["KEEP_LOGS"], it.name + ".log").write_bytes(it.log.read_bytes())
    if broken is None:
        sys.stdout.flush()
        os._exit(NO_CASE)
    for it in broken:
        record.write(f"BROKEN {it}")
    print(f"{len(broken)} breaks of the rule" + (f", the first: {broken[0]}" if broken else ""))
    record.write(f"end: {len(broken)} breaks of the rule")
    sys.stdout.flush()
    os._exit(1 if broken else 0)  # connections that are still open need no orderly end

"""Starts a small damaskflow of real processes on loopback, and stops only the processes that it started."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import textwrap
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / os.environ.get("DAMASK_BUILD", "build") / "bin"
STOP_SECONDS = 30  # a graceful stop that takes longer is a failure
START_SECONDS = 20
FIRST_PORT = 10000  # below the system's range of ephemeral ports
PORTS_EACH = 700    # for one bench; concurrent benches use other ranges
PORT_RANGES = 32
LINE_BYTES = 150    # of a settings file; longer values continue on indented lines


def http(method, port, path, body=None, token="", timeout=10):
    """Sends one request to a port on loopback; returns (status, text), with status 0 if there is no response."""
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method,
                                     data=body.encode() if body is not None else (b"" if method == "POST" else None))
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, urllib.error.URLError):
        return 0, ""


def ini(sections):
    """Formats {section: {key: value}} as INI text."""
    out = []
    for section, values in sections.items():
        out.append(f"[{section}]")
        for key, value in values.items():
            out += textwrap.wrap(f"{key} = {value}", LINE_BYTES, subsequent_indent="    ", break_on_hyphens=False,
                                 break_long_words=False)
        out.append("")
    return "\n".join(out)


class Process:
    """One process of a damaskflow program, with its name, settings and log."""

    def __init__(self, bench, name, program, sections):
        self.bench, self.name, self.program = bench, name, program
        self.settings = bench.folder / f"{name}.ini"
        self.settings.write_text(ini(sections))
        self.log = bench.folder / f"{name}.log"
        self.popen = None

    def start(self):
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen([str(BIN / self.program), f"--settings={self.settings}"], stderr=log,
                                          stdout=log, stdin=subprocess.DEVNULL)
        return self

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        if self.alive():
            self.popen.send_signal(number)

    def stop(self):
        """Stops the process gracefully; returns the exit code, or None if it had to be killed."""
        if not self.alive():
            return self.popen.returncode if self.popen else 0
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def kill(self):
        if self.alive():
            self.popen.kill()
            self.popen.wait()

    def usage(self):
        """Returns (CPU seconds, resident MB) of the running process."""
        stat = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(stat[11]) + int(stat[12])
        pages = int(pathlib.Path(f"/proc/{self.popen.pid}/statm").read_text().split()[1])
        return ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Bench:
    """A folder of settings and logs, a range of ports, and the processes that use them."""

    opened = 0  # benches opened by this script: each begins its search at another range

    def __init__(self, keep=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="damask-"))
        self.claim = self.claim_ports()
        self.next_port = self.claim.getsockname()[1] + 1
        self.processes = {}
        self.keep = keep
        self.failures = []

    @staticmethod
    def claim_ports():
        """Reserves a range of ports by binding a socket to its first port, for the lifetime of the bench."""
        for _ in range(PORT_RANGES):
            claim = socket.socket()
            try:
                claim.bind(("127.0.0.1", FIRST_PORT + (os.getpid() + Bench.opened) % PORT_RANGES * PORTS_EACH))
                return claim
            except OSError:
                claim.close()
            finally:
                Bench.opened += 1
        raise RuntimeError(f"all {PORT_RANGES} ranges of ports are in use")

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        self.stop_all()
        self.claim.close()
        if kind is None and not self.failures and not self.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are in {self.folder}", flush=True)

    def port(self, count=1):
        first = self.next_port
        self.next_port += count
        return first

    def start(self, name, program, sections):
        process = Process(self, name, program, sections)
        self.processes[name] = process
        return process.start()

    def wait(self, what, ready, seconds=START_SECONDS):
        """Polls ready() until it is true; on timeout, raises an error that names the condition."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if ready():
                return
            time.sleep(0.02)
        self.failures.append(what)
        raise RuntimeError(f"timed out after {seconds} s waiting for {what}; logs are in {self.folder}")

    def wait_ready(self, name, port, path="/ready"):
        def ready():
            if not self.processes[name].alive():
                raise RuntimeError(f"{name} ended: {self.processes[name].log.read_text()[-2000:]}")
            return http("GET", port, path)[0] == 200
        self.wait(f"{name} to be ready", ready)

    def stop_all(self):
        """Stops entries first, so that their calls in flight can finish; then the other processes."""
        order = sorted(self.processes, key=lambda name: (not name.startswith("entry"), not name.startswith("keeper"),
                                                         name.startswith("store")))
        for name in order:
            self.processes[name].stop()

    def load(self, sections, wait=True):
        """Runs damask-load; returns its JSON summary, or the Popen if wait is false."""
        sections.setdefault("report", {})["json"] = "yes"
        name = f"load{len(list(self.folder.glob('load*.ini')))}"
        path = self.folder / f"{name}.ini"
        path.write_text(ini(sections))
        popen = subprocess.Popen([str(BIN / "damask-load"), f"--settings={path}"], stdout=subprocess.PIPE,
                                 stderr=(self.folder / f"{name}.log").open("wb"), text=True)
        return self.load_result(popen) if wait else popen

    def load_result(self, popen):
        out, _ = popen.communicate()
        if not out.startswith("{"):
            raise RuntimeError(f"damask-load failed with {popen.returncode}: {out}; logs are in {self.folder}")
        return json.loads(out)


def figure(case, name, value, unit, **labels):
    """Prints one figure as a JSON line."""
    print(json.dumps({"case": case, "figure": name, "unit": unit, "value": value, **labels}), flush=True)

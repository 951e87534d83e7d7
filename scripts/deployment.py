"""Starts a deployment of stand-ins and entries on loopback addresses.

Each process is started here and stopped by its id. Nothing is looked up by
name and nothing outside of 127.0.0.0/8 is reached.
"""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG_END_CHARS = 2000  # of a process that ended by itself

SHAPES = {
    "retecilia": {
        "zones": ["catania", "enna", "bronte"],
        "region": "sicily",
        "services": {
            "stock": {"upstreams": 17, "slots": 6},
            "booking": {"upstreams": 7, "slots": 6},
            "plans": {"upstreams": 6, "slots": 6},
        },
        "rules": [
            {"name": "hail", "service": "plans", "path_prefix": "/urgent",
             "class": "urgent", "idempotent": True, "deadline_ms": 1000},
            {"name": "plan", "service": "plans", "path_prefix": "/plans",
             "class": "bulk", "idempotent": True, "deadline_ms": 8000},
            {"name": "stock", "service": "stock", "path_prefix": "/stock",
             "method": "GET", "idempotent": True, "deadline_ms": 2000},
            {"name": "book", "service": "booking", "method": "POST",
             "path_prefix": "/booking", "idempotent": False,
             "deadline_ms": 2000},
        ],
        "connections": 220,
    },
    "carrick": {
        "zones": ["perth", "stirling", "falkirk", "alloa"],
        "region": "scotland",
        "services": {
            "rota": {"upstreams": 20, "slots": 3},
            "bookings": {"upstreams": 10, "slots": 3},
            "records": {"upstreams": 8, "slots": 3},
        },
        "rules": [
            {"name": "knell", "service": "records", "path_prefix": "/urgent",
             "class": "urgent", "idempotent": True, "deadline_ms": 1000},
            {"name": "recording", "service": "records",
             "path_prefix": "/plans", "class": "bulk", "idempotent": True,
             "deadline_ms": 8000},
            {"name": "rota", "service": "rota", "path_prefix": "/stock",
             "method": "GET", "idempotent": True, "deadline_ms": 2000},
            {"name": "toll", "service": "bookings", "method": "POST",
             "path_prefix": "/booking", "idempotent": False,
             "deadline_ms": 2000},
        ],
        "connections": 260,
    },
}


def http(method, address, path, body=None, timeout=2.0):
    """One request; returns the body as text."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def wait_for(condition, limit_s, what):
    """Waits until the condition holds; raises when the limit passes."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f"not reached within {limit_s} s: {what}")


class Deployment:
    """Processes of one deployment; use as a context manager."""

    def __init__(self, shape="retecilia", entries=16, build=None, out=None,
                 policy="preferred_least", net=20, limits=None,
                 service=None, upstream_args=None, settings=None):
        self.shape = SHAPES[shape]
        self.entry_count = entries
        self.bin = pathlib.Path(build or ROOT / "build") / "bin"
        self.out = pathlib.Path(out or ROOT / "out" / f"run-{net}")
        self.policy = policy
        self.net = net
        self.limits = limits or {}
        self.service = service or {}
        self.upstream_args = upstream_args or {}
        self.settings = settings or {}
        self.processes = {}
        self.upstreams = {}
        self.zone_of = {}
        self.platform = f"127.{net}.0.1:8500"

    def __enter__(self):
        if self.out.exists():
            shutil.rmtree(self.out)
        (self.out / "ledger").mkdir(parents=True)
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Starting.

    def start(self):
        document = self.out / "document.json"
        document.write_text(json.dumps(self.document(), indent=1))
        self.launch("platform", ["standin-platform", "--listen",
                                 self.platform, "--document", str(document)])
        wait_for(lambda: http("GET", self.platform, "/stats"), 5, "platform")
        for service, spec in self.shape["services"].items():
            for index in range(spec["upstreams"]):
                self.start_upstream(service, index)
        wait_for(lambda: self.instances() == self.expected_upstreams(), 10,
                 "instance list")
        for index in range(self.entry_count):
            self.start_entry(index)
        for index in range(self.entry_count):
            wait_for(lambda i=index: self.has_started(i), 15,
                     f"entry {index}")
        wait_for(self.all_warm, 15, "upstreams known to all entries")

    def document(self):
        services = []
        for name, spec in self.shape["services"].items():
            services.append({"name": name, "slots": spec["slots"],
                             "cold_slots": 1, "urgent_reserve": 1,
                             "policy": self.policy, **self.service})
        zones = [{"name": z, "region": self.shape["region"],
                  "state": "active"} for z in self.shape["zones"]]
        limits = {"connections_per_upstream": self.shape["connections"],
                  **self.limits}
        return {"change_id": "initial", "zones": zones, "services": services,
                "rules": self.shape["rules"], "limits": limits}

    def start_upstream(self, service, index, extra=()):
        name = f"{service}-{index}"
        zones = self.shape["zones"]
        zone = zones[index % len(zones)]
        row = list(self.shape["services"]).index(service)
        address = f"127.{self.net}.{10 + row}.{index + 1}:9000"
        args = ["standin-upstream", "--listen", address, "--platform",
                self.platform, "--id", name, "--service", service, "--zone",
                zone, "--slots", str(self.shape["services"][service]["slots"]),
                "--seed", str(1000 * row + index + 1), "--ledger",
                str(self.out / "ledger" / name)]
        for key, value in self.upstream_args.items():
            args += [f"--{key}", str(value)]
        self.launch(name, args + list(extra))
        self.upstreams[name] = address
        self.zone_of[name] = zone

    def entry_address(self, index, port):
        return f"127.{self.net}.1.{index + 1}:{port}"

    def callers(self, index):
        return self.entry_address(index, 8080)

    def control(self, index):
        return self.entry_address(index, 8081)

    def peer(self, index):
        return self.entry_address(index, 8082)

    def start_entry(self, index):
        zones = self.shape["zones"]
        zone = zones[index % len(zones)]
        seeds = [self.peer(i) for i in range(self.entry_count)]
        lines = [f'name = "entry-{index}"', f'zone = "{zone}"',
                 f'region = "{self.shape["region"]}"',
                 f'callers = "{self.callers(index)}"',
                 f'control = "{self.control(index)}"',
                 f'peer = "{self.peer(index)}"',
                 f'platform = "{self.platform}"',
                 f"seeds = {json.dumps(seeds)}"]
        lines += [f"{key} = {json.dumps(value)}"
                  for key, value in self.settings.items()]
        path = self.out / f"entry-{index}.toml"
        path.write_text("\n".join(lines) + "\n")
        self.launch(f"entry-{index}",
                    ["skylark-entry", "--settings", str(path)])
        self.zone_of[f"entry-{index}"] = zone

    def launch(self, name, args):
        log = open(self.out / f"{name}.log", "a", encoding="utf-8")
        self.processes[name] = subprocess.Popen(
            [str(self.bin / args[0])] + args[1:], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)

    # Looking.

    def instances(self):
        text = http("GET", self.platform, "/v1/catalog/service/skylark")
        return len(json.loads(text))

    def has_started(self, index):
        """Whether it is ready; raises with the end of its log when the entry
        has ended."""
        name = f"entry-{index}"
        code = self.processes[name].poll()
        if code is not None:
            log = (self.out / f"{name}.log").read_text("utf-8", "replace")
            raise RuntimeError(
                f"{name} ended with code {code}\n{log[-LOG_END_CHARS:]}")
        return self.ready(index)

    def ready(self, index):
        return http("GET", self.control(index), "/readyz") == "ready\n"

    def metric(self, index, name):
        """Sum of a metric over its labels."""
        total = 0.0
        for line in http("GET", self.control(index), "/metrics").splitlines():
            if line.startswith(name) and line[len(name)] in " {":
                total += float(line.rsplit(" ", 1)[1])
        return total

    def all_warm(self):
        return all(self.metric(i, "skylark_upstreams_warm") ==
                   self.expected_upstreams()
                   for i in range(self.entry_count))

    def expected_upstreams(self):
        return len(self.upstreams) * self.upstream_args.get("count", 1)

    def stats(self, upstream):
        return json.loads(http("GET", self.upstreams[upstream], "/stats"))

    def admin(self, upstream, query):
        return http("PUT", self.upstreams[upstream], f"/admin?{query}", "")

    def fault(self, query):
        return http("PUT", self.platform, f"/fault?{query}", "")

    # Acting.

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def crashed(self):
        """Processes that ended by themselves, with how; those that a cell
        killed are not among them."""
        return {name: process.returncode
                for name, process in self.processes.items()
                if process.poll() not in (None, 0, -signal.SIGKILL,
                                          -signal.SIGTERM)}

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    # Load.

    def experiment(self, name, flows, duration_s, seed=1, warmup_s=1.0,
                   callers_per_zone=4, entries=None):
        entries = entries or [self.callers(i)
                              for i in range(self.entry_count)]
        lines = [f"duration_s = {duration_s}", f"warmup_s = {warmup_s}",
                 f"seed = {seed}", f"callers_per_zone = {callers_per_zone}",
                 f"zones = {json.dumps(self.shape['zones'])}",
                 f"entries = {json.dumps(entries)}"]
        for flow in flows:
            lines.append("[[flow]]")
            lines += [f"{key} = {json.dumps(value)}"
                      for key, value in flow.items()]
        path = self.out / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_load(self, name, *args, **kwargs):
        path = self.experiment(name, *args, **kwargs)
        return subprocess.Popen(
            [str(self.bin / "standin-load"), str(path), "--json",
             str(self.out / f"{name}.json"), "--ledger",
             str(self.out / "ledger")],
            stdout=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL)

    def load(self, name, *args, **kwargs):
        """Runs load to its end; returns result and table."""
        process = self.start_load(name, *args, **kwargs)
        table, _ = process.communicate()
        return self.result(name), table

    def result(self, name):
        return json.loads((self.out / f"{name}.json").read_text())

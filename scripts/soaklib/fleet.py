"""Processes of a soak: the store, servers, entries. Each is started here and
ended by its id."""

import contextlib
import json
import pathlib
import shutil
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

from .configuration import SERVICES, Configuration
from .records import Event
from .requests import HOST

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ["north", "east", "west"]
# Mean service time and, where the tail is heavy, the longest; microseconds.
TIMES = {"quick": (30_000, 0), "steady": (250_000, 0),
         "heavy": (600_000, 6_000_000)}


def call(method, address, path, body=None, timeout=2.0, headers=None):
    """Status and body of one request; status 0 without an answer."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data=data,
                                     method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, ""
    except OSError:
        return 0, ""


def wait_for(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"not reached within {limit_s} s: {what}")
        time.sleep(0.01)


def replace_file(path, text):
    """Readers find the old text or the new one, whoever else writes."""
    fresh = path.with_suffix(f".{threading.get_ident()}.new")
    fresh.write_text(text, encoding="utf-8")
    fresh.replace(path)


class Fleet:
    """A deployment on the platform's interface; a context manager."""

    def __init__(self, args, out, bounds, shape=None):
        self.bin = pathlib.Path(args.build or ROOT / "build") / "bin"
        self.out = out
        self.net = args.net
        self.seed = args.seed
        self.bounds = bounds
        self.entries = [f"entry-{i}" for i in range(args.entries)]
        self.places = list(range(args.servers))
        self.slots = args.slots
        self.shape = shape
        self.zones = shape.zones if shape else ZONES
        self.instances = {}      # place to the instance that serves there
        self.generation = dict.fromkeys(self.places, 0)
        self.processes = {}
        self.events = []
        self.configuration = Configuration(HOST, *(
            (shape.routes(), list(shape.servers)) if shape else ()))
        self.lock = threading.Lock()
        self.holds = {name: threading.RLock()
                      for name in [*self.entries, *self.places]}
        self.settings = {"entries_ttl_ms": 2000}
        self.added = out / "added.json"  # prefixes of added routes in force

    def __enter__(self):
        if self.out.exists():
            shutil.rmtree(self.out)
        (self.out / "ledger").mkdir(parents=True)
        self.added.write_text("[]", encoding="utf-8")
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def note(self, word, subject, **fields):
        with self.lock:
            self.events.append(Event(time.monotonic(), word, subject, fields))

    def start(self):
        self.launch("store", ["standin-store", "--listen", self.store,
                              "--operators", self.operators])
        wait_for(lambda: self.put("op/config", self.configuration.text()), 10,
                 "the store")
        self.note("config", "", phase="done", **self.configuration.fields())
        for place in self.places:
            self.start_server(place)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            wait_for(lambda e=entry: self.ready(e), 30, entry)

    def launch(self, name, args):
        with open(self.out / f"{name}.log", "a", encoding="utf-8") as log:
            process = subprocess.Popen(
                [str(self.bin / args[0])] + args[1:], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.processes[name] = process
        return process

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    # The store.

    @property
    def store(self):
        return f"127.{self.net}.0.1:8500"

    @property
    def operators(self):
        return f"127.{self.net}.0.1:8501"

    def put(self, key, value):
        return call("PUT", self.operators, f"/standin/key?key={key}",
                    value)[0] == 200

    def erase(self, key):
        call("DELETE", self.operators, f"/standin/key?key={key}")

    def set_faults(self, query):
        call("PUT", self.operators, f"/standin/faults?{query}", "")

    def restore(self, age, rewrite):
        """Lets the store return from a copy; ages in seconds."""
        status, _ = call("PUT", self.operators, "/standin/restore"
                         f"?age_ms={int(age * 1000)}"
                         f"&rewrite_ms={int(rewrite * 1000)}", "")
        return status == 200

    def publish_added(self, prefixes):
        replace_file(self.added, json.dumps(prefixes))

    # Entries.

    def zone_of(self, entry):
        return self.zones[self.entries.index(entry) % len(self.zones)]

    def address(self, entry, port):
        index = self.entries.index(entry)
        return f"127.{self.net}.{1 + index // 200}.{index % 200 + 1}:{port}"

    def callers_of(self, entry):
        return self.address(entry, 8080)

    def write_settings(self, entry):
        seeds = [self.address(e, 8082) for e in self.entries[:3]]
        values = {
            "name": entry, "deployment": "platform",
            "zone": self.zone_of(entry), "region": "r", "zones": self.zones,
            "callers": self.callers_of(entry),
            "ready": self.address(entry, 8088),
            "lookup": self.address(entry, 8083),
            "control": self.address(entry, 8082),
            "peer": self.address(entry, 8082), "platform": self.store,
            "seeds": seeds, "questions_per_upstream": 60, "cores": 1.0,
            "bootstrap": not self.started(entry),
            "apply_limit_ms": int(self.bounds.config_apply * 1000),
            "killed_after_s": int(self.bounds.grace), **self.settings}
        path = self.out / f"{entry}.toml"
        text = "".join(f"{key} = {json.dumps(value)}\n"
                       for key, value in values.items())
        replace_file(path, text)
        return path

    @contextlib.contextmanager
    def held(self, names):
        """Keeps other scenes from ending or starting these entries or the
        servers of these places."""
        with contextlib.ExitStack() as stack:
            for name in sorted(set(names)):
                stack.enter_context(self.holds[name])
            yield

    def started(self, entry):
        return any(e.word == "start" and e.subject == entry
                   for e in self.events)

    def start_entry(self, entry):
        """Without effect while the entry runs."""
        with self.held([entry]):
            if self.running(entry):
                return
            path = self.write_settings(entry)
            self.note("start", entry)
            self.launch(entry, ["skylark-entry", "--settings", str(path)])

    def ready(self, entry):
        return call("GET", self.address(entry, 8088), "/readiness",
                    timeout=1.0)[0] == 200

    def running(self, entry):
        process = self.processes.get(entry)
        return process is not None and process.poll() is None

    def signal(self, name, number):
        """Sends a signal to a process that was started here."""
        if self.running(name):
            self.note(signal.Signals(number).name, name)
            self.processes[name].send_signal(number)

    def note_exit(self, entry):
        """Notes the end of an entry, with the last line of its log if it
        failed."""
        code = self.processes[entry].returncode
        fields = {"code": code}
        if code:
            log = self.out / f"{entry}.log"
            lines = log.read_text("utf-8", "replace").splitlines()
            fields["last"] = lines[-1] if lines else ""
        self.note("exit", entry, **fields)

    def handles(self, name, number):
        """Whether a process has a handler for a signal."""
        try:
            status = pathlib.Path(
                f"/proc/{self.processes[name].pid}/status").read_text("utf-8")
        except OSError:
            return False  # it has ended
        caught = status.partition("SigCgt:")[2].split()
        return bool(caught) and bool(int(caught[0], 16) >> number - 1 & 1)

    # Servers.

    def server_address(self, place):
        return (f"127.{self.net}.{100 + place // 200}."
                f"{place % 200 + 1}:9000")

    def service_of(self, place):
        if self.shape:
            return self.shape.service_of(place)
        return SERVICES[place % len(SERVICES)]

    def zone_of_place(self, place):
        if self.shape:
            return self.zones[place % len(self.zones)]
        return ZONES[place // len(SERVICES) % len(ZONES)]

    def work_of(self, service):
        """Options of a server that concern its work."""
        if self.shape:
            return self.shape.work_of(service)
        mean, longest = TIMES[service]
        return ["--slots", str(self.slots), "--queue", str(self.slots),
                "--mean-us", str(mean), "--longest-us", str(longest)]

    def start_server(self, place):
        with self.lock:
            self.generation[place] += 1
            instance = f"i-{place}-{self.generation[place]}"
            self.instances[place] = instance
        service = self.service_of(place)
        zone = self.zone_of_place(place)
        self.note("server-start", instance, service=service, zone=zone)
        self.launch(instance, [
            "standin-server", "--listen", self.server_address(place),
            "--store", self.operators, "--id", instance, "--service", service,
            "--zone", zone, *self.work_of(service), "--seed",
            str(self.seed * 1000 + place * 10 + self.generation[place]),
            "--ledger", str(self.out / "ledger" / instance)])

    def admin(self, place, path):
        return call("PUT", self.server_address(place), f"/standin/{path}",
                    "")[0]

    def end_server(self, place):
        """Ends the process of a place at once."""
        instance = self.instances[place]
        process = self.processes[instance]
        self.note("server-end", instance)
        process.kill()
        process.wait()
        self.note("server-ended", instance)

"""Small deployment of skylark-entry processes with Python stand-ins.

The stand-ins follow the users' pages PROTOCOL.md and DEPLOY.md: the platform's
metadata store, servers that register there, and consumers. Everything listens
on free ports of loopback addresses. Processes are ended by their id.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ENTRY = ROOT / "target" / "bin" / "skylark-entry"
ZONES = ["catania-a", "catania-b", "acireale"]
HOST = "jepu9.example"

# Bounds of the site file sites/retecilia-gw.toml, as the settings file of a
# machine gives them (DEPLOY.md).
BOUNDS = {"drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 6,
          "probes_per_s": 60, "stable_window_ms": 3000}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(address):
    """A port of an address that is free for TCP and for UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
            stream.bind((address, 0))
            port = stream.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                try:
                    datagram.bind((address, port))
                    return port
                except OSError:
                    continue


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        if not self.file.closed:
            self.file.write(f"{self.now():9.4f} {what} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """First line and headers (names in lower case); None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    size = int(headers.get("content-length", "0"))
    if size:
        try:
            body = await reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return method, target, headers, body


def format_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.last_lease = 0
        self.watches = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self.expire())

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(),
                "revision": self.revision,
                "created_rev": old["created_rev"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.announce()

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})
            self.announce()

    def cut_watches(self):
        """Ends the connections of all watches that are waiting."""
        waiting = list(self.watches.values())
        for writer in waiting:
            writer.close()
        return len(waiting)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (end, _) in list(self.leases.items()):
                if now > end:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.delete(key)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, body = await self.answer(request, writer)
                if writer.is_closing():
                    break
                writer.write(format_answer(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", "1")], json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        method, target, _, body = request
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path
        if method == "GET" and path == "/kv-range":
            return self.range(query)
        if method == "GET" and path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if not item:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if method == "GET" and path == "/kv-watch":
            return await self.watch(query, writer)
        if method == "POST" and path == "/kv-txn":
            return self.transact(json.loads(body))
        if method == "POST" and path == "/kv-lease":
            self.last_lease += 1
            life = json.loads(body)["ttl_ms"]
            self.leases[self.last_lease] = (time.monotonic() + life / 1000,
                                            life)
            return 200, {"lease": self.last_lease, "ttl_ms": life}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            life = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + life / 1000, life)
            return 200, {"ttl_ms": life}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        return 200, {"items": [self.items[k] for k in keys[:500]],
                     "truncated": len(keys) > 500,
                     "current_rev": self.revision}

    async def watch(self, query, writer):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        key = object()
        self.watches[key] = writer
        try:
            while True:
                events = [one for one in self.history
                          if one["revision"] > after
                          and one["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0 or writer.is_closing():
                    return 200, {"events": events,
                                 "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            del self.watches[key]

    def transact(self, call):
        for row in call.get("expected_rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for one in call.get("writes", []):
            if one["key"].startswith(("op/", "servers/")):
                return 403, {}
            if one.get("lease", 0) and one["lease"] not in self.leases:
                return 404, {}
        for one in call.get("writes", []):
            self.put(one["key"], base64.b64decode(one["value"]).decode(),
                     one.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Server:
    """A server of one service. Subclasses change what it answers."""

    def __init__(self, record, service, index, zone, slots=6,
                 work=lambda: 0.12, max_queue=24):
        self.record = record
        self.service = service
        self.id = f"i-{service}-{index}"
        self.zone = zone
        self.slots = slots
        self.work = work
        self.max_queue = max_queue
        self.running = 0
        self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.connections = {}
        self.arrived = []  # (time, request id) of requests, not of checks
        self.runs = {}     # request id -> number of runs
        self.cut = []      # runs that were not answered, the server ended
        self.ended = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry_value(self, state="ready"):
        return {"address": f"127.0.0.1:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": state, "seq_no": 1, "warmup_left_ms": 0}}

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    def exit(self):
        """The process ends: nothing listens, all connections are closed."""
        self.ended = True
        self.server.close()
        for task in list(self.connections.values()):
            task.cancel()

    async def serve(self, reader, writer):
        self.connections[writer] = asyncio.current_task()
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self.handle(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def handle(self, request, reader, writer):
        method, target, headers, body = request
        if target == "/health":
            writer.write(format_answer(200, [("Instance-Id", self.id),
                                             ("Server-Load", self.load())]))
            return
        name = headers.get("request-id", "")
        self.arrived.append((self.record.now(), name))
        self.record.add("arrived", server=self.id, id=name)
        common = [("Request-Id", name), ("Server-Load", self.load())]
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(format_answer(421, common + [
                ("Instance-Id", self.id), ("Not-Executed", "1")]))
            return
        if self.running >= self.slots and self.waiting >= self.max_queue:
            writer.write(format_answer(503, common + [("Not-Executed", "1")]))
            return
        self.waiting += 1
        try:
            await self.gate.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record.add("run", server=self.id, id=name)
        try:
            await asyncio.sleep(self.work())
            await self.reply(name, writer)
            self.record.add("ran", server=self.id, id=name)
        except asyncio.CancelledError:
            if self.ended:
                self.cut.append(name)
                self.record.add("cut", server=self.id, id=name)
            raise
        finally:
            self.running -= 1
            self.gate.release()

    async def reply(self, name, writer):
        body = f"{self.id} {name}\n".encode() * 8
        writer.write(format_answer(200, [
            ("Request-Id", name), ("Server-Load", self.load()),
            ("Response-Stamp", f"stamp.{name}")], body))


class Entry:
    """One skylark-entry, started with the command of deploy/system.toml."""

    def __init__(self, folder, index, zone, store_port):
        self.index = index
        self.zone = zone
        self.name = f"front-{zone}-{index}"
        self.folder = folder
        self.store_port = store_port
        # An address of its own: the ports of outgoing connections, which come
        # from 127.0.0.1, can't take those of a machine that is to start.
        self.ip = (f"127.{random.randint(16, 250)}.{random.randint(0, 250)}."
                   f"{index + 1}")
        self.front, self.ready, self.directory, self.control = (
            (self.ip, free_port(self.ip)) for _ in range(4))
        self.process = None

    def write_settings(self, seeds, bootstrap=True):
        text = (ROOT / "deploy" / "entry.toml.template").read_text()
        def address(place):
            return f"{place[0]}:{place[1]}"

        fields = {
            "node": self.name, "zone": self.zone, "region": "sicilia-est",
            "listen.front": address(self.front),
            "listen.ready": address(self.ready),
            "listen.directory": address(self.directory),
            "listen.control": address(self.control),
            "platform.address": address(("127.0.0.1", self.store_port)),
            "bounds.probes_per_s": BOUNDS["probes_per_s"],
            "limits.cpu_share": 0.2,
            "bootstrap": "true" if bootstrap else "false",
            "bounds.config_apply_ms": BOUNDS["config_apply_ms"],
            "bounds.grace_s": BOUNDS["grace_s"],
        }
        text = text.replace('{{#zones}}"{{@}}"{{,}}{{/zones}}',
                            ", ".join(f'"{zone}"' for zone in ZONES))
        text = text.replace('{{#seeds}}"{{.}}"{{,}}{{/seeds}}',
                            ", ".join(f'"{seed}"' for seed in seeds))
        for key, value in fields.items():
            text = text.replace("{{" + key + "}}", str(value))
        if "{{" in text:
            raise RuntimeError("a field of the template is not known here")
        self.path = pathlib.Path(self.folder) / f"{self.name}.conf"
        self.path.write_text(text)

    def start(self):
        self.log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(ENTRY), "--settings", str(self.path)], cwd=ROOT,
            stdout=self.log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer:
    """What a consumer saw of one request."""

    def __init__(self, name, sent):
        self.name = name
        self.sent = sent
        self.begun = None     # when the head was complete
        self.ended = None     # when the answer or the connection ended
        self.status = None
        self.complete = False
        self.gave_up = False
        self.cause = ""


async def ask(record, place, method, path, deadline_s, body=b""):
    """One request on a connection of its own; the consumer leaves at its
    deadline."""
    out = Answer(f"{random.getrandbits(64):016x}", record.now())
    record.add("sent", id=out.name, to=place[1], method=method, path=path)
    try:
        await asyncio.wait_for(exchange(
            record, place, method, path, deadline_s, body, out), deadline_s)
    except asyncio.TimeoutError:
        out.gave_up = True
        out.cause = "left at its deadline"
    except (ConnectionError, OSError, ValueError) as error:
        out.cause = f"{type(error).__name__}"
    out.ended = record.now()
    record.add("answered" if out.complete else "unanswered", id=out.name,
               status=out.status, took=f"{out.ended - out.sent:.3f}",
               cause=out.cause.replace(" ", "_"))
    return out


async def exchange(record, place, method, path, deadline_s, body, out):
    reader, writer = await asyncio.open_connection(*place)
    try:
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {out.name}\r\n"
                f"Deadline-Ms: {int(deadline_s * 1000)}\r\n")
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        got = await read_head(reader)
        if got is None:
            out.cause = "closed before an answer"
            return
        out.begun = record.now()
        line, headers = got
        out.status = int(line.split(" ")[1])
        out.headers = headers
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    break
        else:
            await reader.readexactly(int(headers.get("content-length", "0")))
        out.complete = True
    except asyncio.IncompleteReadError:
        out.cause = "closed within an answer"
    finally:
        writer.transport.abort()


class Deployment:
    """Store, servers and entries; use as an async context manager."""

    def __init__(self, folder, entries=3):
        self.record = Record(folder)
        self.entry_count = entries
        self.servers = []
        self.entries = []

    async def __aenter__(self):
        self.folder = tempfile.mkdtemp(prefix="skylark-review-")
        if not ENTRY.exists():
            raise RuntimeError(f"no {ENTRY}: run the build of the deploy file")
        self.store = Store(self.record)
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for entry in self.entries:
            entry.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    async def add_server(self, server):
        await server.start()
        self.servers.append(server)
        self.store.put(f"servers/{server.id}", server.entry_value())

    async def start_entries(self):
        for index in range(self.entry_count):
            self.entries.append(Entry(self.folder, index,
                                      ZONES[index % len(ZONES)],
                                      self.store.port))
        seeds = ["{}:{}".format(*entry.control)
                 for entry in self.entries[:3]]
        for entry in self.entries:
            entry.write_settings(seeds)
            entry.start()
        end = time.monotonic() + 20
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > end:
                    raise RuntimeError(f"{entry.name} is not ready")
                await asyncio.sleep(0.05)
        # Traffic starts 8 s after the machines (DEPLOY.md, site files); three
        # are enough for the entries to know each other.
        await asyncio.sleep(3)

    async def is_ready(self, entry):
        try:
            reader, writer = await asyncio.open_connection(*entry.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await read_head(reader)
            return head is not None and head[0].split(" ")[1] == "200"
        finally:
            writer.close()


def configuration(version, routes, services):
    """The operator's configuration. Routes are (name, prefix, kind,
    timeout_ms, target_latency_ms, service); services are names."""
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout_ms",
                        "target_latency_ms", "priority", "max_attempts",
                        "service"],
            "rows": [[name, HOST, prefix, kind, timeout, target, 1, 2, service]
                     for name, prefix, kind, timeout, target, service
                     in routes]},
        "services": {
            "columns": ["name", "health_path", "max_conns", "protocol", "tls",
                        "warmup_s", "warmup_per_s"],
            "rows": [[name, "/health", 220, "h1", False, 3.0, 21.0]
                     for name in services]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def load(deployment, rate, seconds, send, tasks, until=None):
    """Starts send(entry) at a rate, spread over the running entries."""
    end = time.monotonic() + seconds
    next_at = time.monotonic()
    turn = 0
    while time.monotonic() < end and not (until and until()):
        usable = [e for e in deployment.entries if not getattr(
            e, "avoid", False)]
        if usable:
            tasks.append(asyncio.ensure_future(
                send(usable[turn % len(usable)])))
        turn += 1
        next_at += 1 / rate
        await asyncio.sleep(max(0, next_at - time.monotonic()))


def run_case(main):
    """Exit status: 1 broken, 0 held, 2 could not run."""
    try:
        broken = asyncio.run(asyncio.wait_for(main(), 110))
    except Exception as error:  # whatever it was, the case did not run
        print(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    raise SystemExit(1 if broken else 0)

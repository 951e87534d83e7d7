"""Stand-ins for the platform's store, servers and consumers, and the start of
real entries, for the scripts of this review. All traffic is on loopback
addresses; all processes are started here and ended by their ids."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the small deployments.
BOUNDS = {"probes_per_s": 60, "config_apply_ms": 2000, "grace_s": 6,
          "drain_ms": 2000, "stable_window_ms": 3000, "heartbeat_ms": 1500}
START = time.monotonic()


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, *words):
        self.file.write(f"{now() - START:9.3f} " +
                        " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


def free_net():
    """Second octet of loopback addresses that nobody listens on."""
    for _ in range(100):
        net = random.randint(64, 250)
        try:
            for host in ("0.1", "1.1", "1.2", "2.1"):
                for port in (8080, 8082, 8083, 8088, 8500, 9000):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET,
                                         socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{net}.{host}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


async def read_head(reader):
    """First line and fields of a message; None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    """Body of a message; raises if it is cut."""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        out = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            out += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return out
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.host, self.port = address
        self.items = {}       # key: (value, revision, created, lease)
        self.history = []     # (revision, key, value or None)
        self.revision = 10
        self.leases = {}      # id: [ttl, end]
        self.last_lease = 100
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)
        self.task = asyncio.create_task(self.expire())

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, value))
        self.wake()
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self.history.append((self.revision, key, None))
        self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [i for i, e in self.leases.items() if e[1] < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v[3] == lease]:
            self.delete(key)

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError):
            while head := await read_head(reader):
                target = head[0].split(" ")[1]
                body = await read_body(reader, head[1])
                status, answer = await self.route(target, body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: "
                             f"application/json\r\nStore-Era: 1\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() +
                             data)
                await writer.drain()
        writer.close()

    async def route(self, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = parts.path
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", "")) and
                          k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "truncated": len(keys) > 500,
                         "current_rev": self.revision}
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"current_rev": self.revision}
            return 200, {**self.item(key), "current_rev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000, now() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = now() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created_rev": created, "lease": lease}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = now() + int(query["wait_ms"]) / 1000
        while True:
            events = []
            for revision, key, value in self.history:
                if revision > after and key.startswith(prefix):
                    if value is None:
                        events.append({"key": key, "revision": revision,
                                       "deleted": True})
                    else:
                        events.append({
                            "key": key, "revision": revision,
                            "value": base64.b64encode(value).decode(),
                            "created_rev": revision, "lease": 0})
            if events or now() >= end:
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, end - now()))

    def transact(self, call):
        for row in call.get("expected_rev", []):
            known = self.items.get(row["key"])
            if (known[1] if known else 0) != row["revision"]:
                return 412, {"items": []}
        for row in call.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in call.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Server:
    """A server: slots, a short queue, a record in the store."""

    def __init__(self, test, name, service, zone, address, **options):
        self.test, self.id, self.service, self.zone = test, name, service, zone
        self.host, self.port = address
        self.slots = self.queue = 6
        self.work = options.get("work", lambda: 0.05)
        # Part of an answer's body that is sent; None: all of it.
        self.truncates = options.get("truncates", lambda: None)
        self.running = self.waiting = 0
        self.seq = 0
        self.runs = []        # (time, id, method, target, fields, body)
        self.arrivals = []    # (time, id): all requests, run or not
        self.truncated = []
        self.free = asyncio.Condition()
        self.writers = set()
        self.registered = None  # address in the record, if another

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 22, backlog=1024)
        self.write()
        self.beat_task = asyncio.create_task(self.beat())

    def record(self):
        return {"address": self.registered or self.address,
                "born": self.born,
                "info": {"service": self.service, "zone": self.zone,
                         "version": "v1", "slots": self.slots},
                "status": {"state": "ready", "seq_no": self.seq,
                           "warmup_left_ms": 0}}

    def write(self):
        self.seq += 1
        self.test.store.put(f"servers/{self.id}", self.record())

    async def beat(self):
        while True:
            await asyncio.sleep(BOUNDS["heartbeat_ms"] / 1000)
            self.write()

    async def stop(self):
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()

    def load(self):
        return f"Server-Load: {self.running},{self.waiting},{self.slots},100\r\n"

    def head(self, status, fields, size):
        return (f"HTTP/1.1 {status} -\r\nContent-Length: {size}\r\n" +
                fields + self.load() + "\r\n")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                fields = head[1]
                if target.split("?")[0] == "/health":
                    await self.health(writer)
                    continue
                body = await read_body(reader, fields)
                name = fields.get("request-id", "-")
                self.arrivals.append((now(), name))
                self.test.record.add("arrived", self.id, name, method, target,
                                     f"deadline={fields.get('deadline-ms')}")
                await self.answer(writer, name, method, target, fields, body)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def health(self, writer):
        writer.write(self.head(200, f"Instance-Id: {self.id}\r\n",
                               0).encode())
        await writer.drain()

    async def refuse(self, writer, name, status):
        self.test.record.add("refused", self.id, name, status)
        writer.write(self.head(status, f"Request-Id: {name}\r\n"
                               f"Not-Executed: 1\r\n", 0).encode())
        await writer.drain()

    async def answer(self, writer, name, method, target, fields, body):
        expected = fields.get("expected-instance", self.id)
        if expected != self.id:
            await self.refuse(writer, name, 421)
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            await self.refuse(writer, name, 503)
            return
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            self.runs.append((now(), name, method, target, fields, body))
            self.test.record.add("run", self.id, name)
            await asyncio.sleep(self.work())
            await self.finish(writer, name)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()

    def body_of(self, name):
        return f"{name} {self.id}\n".encode() * 50

    async def finish(self, writer, name):
        body = self.body_of(name)
        size, part = len(body), self.truncates()
        if part is not None:
            self.truncated.append(name)
            self.test.record.add("truncates", self.id, name)
            body = body[:int(size * part)]
        writer.write(self.head(200, f"Request-Id: {name}\r\n"
                               f"Response-Stamp: {self.id}.{name}\r\n",
                               size).encode() + body)
        await writer.drain()


def table(columns, rows):
    return {"columns": columns, "rows": rows}


def config(version, routes, services):
    """Body of op/config; routes and services are lists of tables."""
    def columns(rows):
        names = []
        for row in rows:
            names += [key for key in row if key not in names]
        return table(names, [[row.get(key) for key in names] for row in rows])
    return {"version": f"{version:08x}", "routes": columns(routes),
            "services": columns(services),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Test:
    """A small deployment; a context manager."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.zones = ["rennes", "brest", "vannes"]
        self.net = free_net()
        self.record = Record(self.folder / "record.txt")
        self.store = Store((f"127.{self.net}.0.1", 8500))
        self.entries = {}     # name: process
        self.started = set()
        self.servers = []
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        run = re.search(r'^run = "([^"]+)"',
                        (ROOT / "deploy/system.toml").read_text("utf-8"),
                        re.M).group(1)
        self.command = run.split()
        self.command[0] = str(ROOT / self.command[0])
        self.seeds = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for process in self.entries.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.entries.values():
            process.wait()
        for server in self.servers:
            with contextlib.suppress(Exception):
                await server.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    async def add_server(self, name, service, zone, **options):
        index = len(self.servers)
        server = Server(self, name, service, zone, options.pop(
            "address", (f"127.{self.net}.2.{index + 1}", 9000)), **options)
        self.servers.append(server)
        await server.start()
        return server

    def host(self, entry):
        return f"127.{self.net}.1.{int(entry.rsplit('-', 1)[1])}"

    def settings(self, entry, zone):
        host = self.host(entry)
        fields = {
            "node": entry, "zone": zone, "region": "bretagne",
            "listen.front": f"{host}:8080", "listen.ready": f"{host}:8088",
            "listen.directory": f"{host}:8083",
            "listen.control": f"{host}:8082",
            "platform.address": f"{self.store.host}:{self.store.port}",
            "bounds.probes_per_s": str(BOUNDS["probes_per_s"]),
            "limits.cpu_share": "0.2",
            "bootstrap": "false" if entry in self.started else "true",
            "bounds.config_apply_ms": str(BOUNDS["config_apply_ms"]),
            "bounds.grace_s": str(BOUNDS["grace_s"])}
        text = (ROOT / "deploy/entry.toml.template").read_text("utf-8")
        quoted = ", ".join(f'"{z}"' for z in self.zones)
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", lambda _: quoted,
                      text)
        seeds = ", ".join(f'"{s}"' for s in self.seeds)
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _: seeds,
                      text)
        return re.sub(r"\{\{([a-z_.]+)\}\}", lambda m: fields[m.group(1)],
                      text)

    def start_entry(self, entry, zone):
        path = self.temp / f"{entry}.toml"
        path.write_text(self.settings(entry, zone), encoding="utf-8")
        self.started.add(entry)
        log = open(self.temp / f"{entry}.log", "ab")
        command = [str(path) if w.endswith("node.conf") else w
                   for w in self.command]
        self.entries[entry] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            cwd=ROOT, env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                           "LANG": "C"})
        log.close()
        self.record.add("start", entry)

    async def start_entries(self, count):
        names = [f"entry-{i + 1}" for i in range(count)]
        self.seeds = [f"{self.host(n)}:8082" for n in names[:3]]
        for i, name in enumerate(names):
            self.start_entry(name, self.zones[i % len(self.zones)])
        for name in names:
            await self.wait_ready(name)
        return names

    async def wait_ready(self, name, limit=20):
        end = now() + limit
        while now() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                status, _, _ = await self.ask(self.host(name), 8088,
                                              "/readiness")
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{name} is not ready")

    async def ask(self, host, port, path, timeout=1.0):
        async def run():
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
                             "Connection: close\r\n\r\n".encode())
                head = await read_head(reader)
                if not head:
                    return 0, {}, b""
                return (int(head[0].split(" ")[1]), head[1],
                        await read_body(reader, head[1], True))
            finally:
                writer.close()
        return await asyncio.wait_for(run(), timeout)

    def signal(self, entry, number):
        self.record.add("signal", entry, number)
        self.entries[entry].send_signal(number)


_last = 0


def new_id():
    global _last
    _last += 1
    return f"{random.getrandbits(40):010x}{_last:06x}"


class Result:
    def __init__(self, name, status, fields, body, sent, ended, whole):
        self.id, self.status, self.fields = name, status, fields
        self.body, self.sent, self.ended = body, sent, ended
        self.whole = whole


class Consumer:
    """One connection of a consumer, kept open for many requests."""

    def __init__(self, test, entry, host_name):
        self.test, self.entry, self.host_name = test, entry, host_name
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.test.host(self.entry), 8080,
                                    limit=1 << 22), 1.0)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, path, method="GET", body=b"", deadline=2000):
        name = new_id()
        sent = now()
        status, got, data, whole = 0, {}, b"", False
        try:
            if not self.writer:
                await self.open()
            length = f"Content-Length: {len(body)}\r\n" \
                if body or method != "GET" else ""
            self.writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {self.host_name}\r\n"
                f"Request-Id: {name}\r\nDeadline-Ms: {deadline}\r\n"
                f"{length}\r\n".encode() + body)
            self.test.record.add("sent", self.entry, name, method, path)

            async def read():
                nonlocal status, got, data, whole
                head = await read_head(self.reader)
                if not head:
                    return
                status, got = int(head[0].split(" ")[1]), head[1]
                data = await read_body(self.reader, got, True)
                whole = True
            await asyncio.wait_for(read(), deadline / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        out = Result(name, status, got, data, sent, now(), whole)
        self.test.record.add("answered", self.entry, name, status,
                             "whole" if whole else "cut")
        if not whole or got.get("connection", "").lower() == "close":
            self.close()
        return out

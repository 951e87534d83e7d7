"""Callers of one worker process; their plan comes as a JSON file.

They run until standard input ends, finish what they have begun, and leave a
line for each request in the file of records.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import sys
import time

from .exchange import Exchange, Unreachable
from .requests import Form
from .shape import draw_kind

# A caller tries a stopped entry again after this time, in seconds.
RECONNECT = 0.05

READ = Form("read", "GET", "/read/", False, size=2048, deadline=6.0)
BULK = Form("bulk", "GET", "/bulk/", False, size=200_000, chunked=True)
BOOK = Form("book", "POST", "/book/", True, upload=200)
HEAVY = Form("heavy", "POST", "/heavy/", True, upload=100, chunked=True)
UPLOAD = Form("upload", "POST", "/put/", True, upload=30_000)
# A slow one first lets those behind it wait.
PIPELINED = [
    Form("pipelined", "GET", "/quick/", False, deadline=4.0),
    Form("pipelined", "GET", "/read/", False, deadline=4.0),
    Form("pipelined", "POST", "/put/", True, upload=100, deadline=4.0),
    Form("pipelined", "POST", "/book/", True, upload=200, deadline=4.0)]
BEHIND = 0.3  # longest time from one pipelined request to the next, seconds
ADDED = Form("added", "GET", "/new/", False, size=100, deadline=2.0)
HALF_CLOSED = {
    "half_closed": dataclasses.replace(BOOK, kind="half_closed",
                                       half_closed=True),
    "half_closed_read": dataclasses.replace(READ, kind="half_closed_read",
                                            half_closed=True)}
FOLLOW = [dataclasses.replace(READ, kind="follow-read"),
          dataclasses.replace(BOOK, kind="follow-book")]


class Worker:
    """State that the callers of a process share."""

    def __init__(self, plan, file):
        self.plan = plan
        self.file = file
        self.stopping = False
        self.addresses = plan["callers_of"]      # of each entry
        self.entry_at = {v: k for k, v in self.addresses.items()}
        self.lag = []                            # (time, seconds)

    def record(self, call):
        call.lag = max((lag for at, lag in self.lag
                        if call.begin <= at <= call.end + lag), default=0.0)
        self.file.write(json.dumps(dataclasses.asdict(call)) + "\n")

    async def watch_lag(self):
        """Notes when this process ran late; its own times are off then."""
        period = 0.02
        while True:
            before = time.monotonic()
            await asyncio.sleep(period)
            late = time.monotonic() - before - period
            if late > period:
                self.lag.append((time.monotonic(), late))


class Caller:
    """One caller that stays on one entry until its process is gone, and
    comes back to the same address."""

    def __init__(self, worker, spec):
        self.worker = worker
        self.spec = spec
        self.random = random.Random(spec["seed"])
        self.exchange = Exchange(worker, spec["name"])

    def form(self):
        """The next request."""
        kind = self.spec["kind"]
        if kind in ("upload", "upload_chunked"):
            return dataclasses.replace(
                UPLOAD, kind=kind, upload_chunked=kind == "upload_chunked",
                upload=self.random.randrange(2_000, 60_000),
                upload_time=self.random.uniform(0.2, 2.5))
        if kind == "slow":
            return dataclasses.replace(
                READ, kind=kind, size=self.random.randrange(200_000, 2_000_000),
                read_time=self.random.uniform(0.3, 2.5))
        if kind == "added":
            known = json.loads(pathlib.Path(
                self.worker.plan["added"]).read_text("utf-8"))
            if known:
                return dataclasses.replace(
                    ADDED, prefix=self.random.choice(known))
            kind = "read"
        if kind == "idle":
            return dataclasses.replace(
                self.random.choice([READ, BOOK]), kind="idle")
        return {"read": READ, "bulk": BULK, "book": BOOK,
                "heavy": HEAVY, **HALF_CLOSED}[kind]

    def pipelined(self):
        """Three requests: pauses, and what is written at once after them."""
        forms = self.random.choices(PIPELINED, k=3)
        if self.random.random() < 0.3:
            return [(0.0, forms)]
        return [(self.random.uniform(0.0, BEHIND) if index else 0.0, [form])
                for index, form in enumerate(forms)]

    def pause(self):
        if self.spec["kind"] == "idle":
            return self.random.uniform(1.0, 5.0)
        return self.random.expovariate(1 / self.spec["think"])

    async def run(self):
        await asyncio.sleep(self.random.uniform(0, 1.0))
        while not self.worker.stopping:
            try:
                await self.step()
            except Unreachable:
                await asyncio.sleep(RECONNECT)
                continue
            await asyncio.sleep(self.pause())

    async def step(self):
        entry = self.spec["entry"]
        if self.spec["kind"] == "pipelined":
            await self.exchange.pipeline(entry, self.pipelined())
        else:
            await self.exchange.perform(entry, self.form())


class Follower(Caller):
    """One caller that goes where the directory sends it."""

    def __init__(self, worker, spec):
        super().__init__(worker, spec)
        self.known = []
        self.known_until = 0.0
        self.failed = set()
        self.entry = None

    async def resolve(self):
        if time.monotonic() < self.known_until:
            return
        order = list(self.worker.plan["directory_of"].values())
        self.random.shuffle(order)
        for address in order[:3]:
            answer = await self.exchange.fetch(
                address, f"/resolve?name=soak.example&region=r"
                         f"&zone={self.spec['zone']}")
            try:
                content = json.loads(answer.body) if answer else {}
            except ValueError:
                content = {}
            if content.get("addresses"):
                self.known = content["addresses"]
                ttl = min(float(content.get("ttl_s", 1)), 5.0)
                self.known_until = time.monotonic() + ttl * self.spec["keep"]
                self.failed.clear()
                return

    def next_form(self):
        return self.random.choice(FOLLOW)

    async def step(self):
        await self.resolve()
        entries = [self.worker.entry_at[a] for a in self.known
                   if a in self.worker.entry_at]
        open_to = [e for e in entries if e not in self.failed]
        if self.entry not in open_to:
            if not open_to:
                self.known_until = 0.0
                raise Unreachable
            self.entry = self.random.choice(open_to)
        try:
            await self.exchange.perform(self.entry, self.next_form())
        except Unreachable:
            self.failed.add(self.entry)
            raise


class SiteCaller(Follower):
    """One caller of a deployment's shape: kinds of request by their rates,
    some of them each on a connection of its own."""

    def next_form(self):
        kind = draw_kind(self.random)
        if kind.fresh:
            self.exchange.drop()
        return kind.form(self.random)


class HalfClosedSiteCaller(SiteCaller):
    """One that shuts its sending side behind each GET."""

    def next_form(self):
        form = super().next_form()
        while form.unsafe:
            form = super().next_form()
        self.exchange.drop()
        return dataclasses.replace(form, kind=f"{form.kind}-half-closed",
                                   half_closed=True)


async def run(worker):
    kinds = {"follow": Follower, "site": SiteCaller,
             "site_half_closed": HalfClosedSiteCaller}
    callers = [kinds.get(spec["kind"], Caller)(worker, spec)
               for spec in worker.plan["callers"]]
    lag = asyncio.create_task(worker.watch_lag())
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.to_thread(sys.stdin.read)
    worker.stopping = True
    await asyncio.gather(*tasks)
    lag.cancel()


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        plan = json.load(file)
    with open(plan["records"], "w", encoding="utf-8") as file:
        asyncio.run(run(Worker(plan, file)))


if __name__ == "__main__":
    main()

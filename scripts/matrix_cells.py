"""Cells of the fault matrix: what happens, and what must be seen."""

import json
import random
import signal
import subprocess
import time

import deployment as dep
from deployment import http, wait_for

dep.SHAPES["small"] = {
    **dep.SHAPES["retecilia"],
    "services": {
        "stock": {"upstreams": 6, "slots": 6},
        "booking": {"upstreams": 6, "slots": 6},
        "plans": {"upstreams": 3, "slots": 6},
    },
}

STOCK = {"name": "stock", "path": "/stock?size=1024&chunked", "rate": 400.0}
BOOKING = {"name": "booking", "method": "POST", "path": "/booking",
           "rate": 200.0, "keyed": True, "body_bytes": 200}
PLANS = {"name": "plans", "path": "/plans?size=3000000", "rate": 6.0,
         "deadline_ms": 8000}
URGENT = {"name": "urgent", "path": "/urgent?size=512", "rate": 50.0,
          "deadline_ms": 1000}
FLOWS = [STOCK, BOOKING, PLANS, URGENT]
CELLS = {}


def cell(fault, step, **options):
    """Registers a cell; the function returns its own findings."""
    def register(function):
        CELLS[f"{fault} / {step}"] = (function, options)
        return function
    return register


class Run:
    """What a cell's function works with."""

    def __init__(self, deployment, seed):
        self.d = deployment
        self.random = random.Random(seed)
        self.start = time.monotonic()
        self.findings = []

    def at(self, seconds):
        """Sleeps until so many seconds after the load's start."""
        time.sleep(max(0.0, self.start + seconds - time.monotonic()))

    def ctl(self, *args):
        return subprocess.run(
            [str(self.d.bin / "skylark-ctl"), "--entry", self.d.control(0),
             "--entry", self.d.control(1), *args], capture_output=True,
            text=True, check=False)

    def misbehave(self, mode):
        """Two upstreams are in a mode from second 2 to 4."""
        for second, now in ((2, mode), (4, "normal")):
            self.at(second)
            self.d.admin("stock-0", f"mode={now}")
            self.d.admin("booking-0", f"mode={now}")

    def expect(self, good, text):
        if not good:
            self.findings.append(text)

    def in_zone(self, zone):
        return [n for n in self.d.upstreams if self.d.zone_of[n] == zone]


# Upstreams.

@cell("upstream killed", "requests waiting", lossy=True)
def upstream_killed(run):
    for step in (2, 3.5):
        run.at(step)
        run.d.kill(f"booking-{int(step)}")
        run.d.kill(f"stock-{int(step)}")


@cell("upstream killed", "answer half read", lossy=True)
def upstream_killed_sending(run):
    run.at(3)
    run.d.kill("plans-1")


@cell("upstream stopped and continued", "requests waiting", lossy=True)
def upstream_stopped(run):
    for name in ("booking-1", "stock-1"):
        run.at(2)
        run.d.signal(name, signal.SIGSTOP)
    run.at(5)
    for name in ("booking-1", "stock-1"):
        run.d.signal(name, signal.SIGCONT)


@cell("upstream draining", "any")
def upstream_draining(run):
    run.at(2)
    run.d.admin("booking-0", "mode=drain")
    run.d.admin("stock-0", "mode=drain")
    run.at(5)
    before = run.d.stats("booking-0")["requests"]
    run.at(7)
    after = run.d.stats("booking-0")["requests"]
    run.expect(after == before, f"{after - before} new requests while leaving")


@cell("upstream shedding", "any")
def upstream_shedding(run):
    run.at(2)
    run.d.admin("booking-0", "mode=shed")
    run.d.admin("stock-0", "mode=shed")


@cell("upstream failing fast", "any", lossy=True)
def upstream_failing(run):
    run.at(2)
    before = run.d.stats("stock-0")["requests"]
    run.d.admin("stock-0", "mode=fail_fast")
    run.at(7)
    share = (run.d.stats("stock-0")["requests"] - before) / (400 * 5)
    run.expect(share < 1 / 6, f"attracts {share:.0%} of the work")


@cell("answer truncated", "answer half read", lossy=True)
def answer_truncated(run):
    run.misbehave("truncate")


@cell("answer late", "waiting", lossy=True)
def answer_late(run):
    run.misbehave("late")


@cell("load report lies", "any")
def report_lies(run):
    run.at(1)
    run.d.admin("stock-0", "mode=lie")


@cell("upstream cold at start", "start-up",
      upstream_args={"cold-ms": 6000}, wait_warm=False)
def cold_at_start(run):
    run.at(7)
    over = {n: run.d.stats(n)["cold_over"] for n in run.d.upstreams}
    run.expect(not sum(over.values()),
               f"{sum(over.values())} arrivals above what cold ones bear")


@cell("upstream cold again", "requests waiting")
def cold_again(run):
    run.at(2)
    run.d.admin("stock-1", "cold_ms=4000")
    run.at(3)  # told by its own answers and by the prober's digest
    first = run.d.stats("stock-1")["cold_over"]
    run.d.admin("stock-1", "reset")
    run.at(5.8)
    over = run.d.stats("stock-1")["cold_over"]
    run.expect(not over, f"{over} arrivals above what it bears "
               f"({first} in the first second)")


@cell("connections silent", "idle and waiting", wire=True, lossy=True)
def connections_silent(run):
    run.at(3)
    run.d.signal("wire", signal.SIGUSR1)
    run.at(7.5)


# Entries.

@cell("entry killed", "requests waiting", lossy=True)
def entry_killed(run):
    run.at(3)
    run.d.kill("entry-2")


@cell("entry killed", "replaced", lossy=True)
def entry_replaced(run):
    run.at(2)
    run.d.kill("entry-2")
    run.at(2.3)
    run.d.start_entry(2)
    wait_for(lambda: run.d.ready(2), 8, "replacement ready")


@cell("entry stopped and continued", "any", lossy="entry")
def entry_stopped(run):
    run.at(2)
    run.d.signal("entry-2", signal.SIGSTOP)
    run.at(5)
    run.d.signal("entry-2", signal.SIGCONT)


@cell("entry draining", "requests waiting")
def entry_draining(run):
    run.at(2)
    run.d.signal("entry-2", signal.SIGTERM)
    run.d.processes["entry-2"].wait(timeout=15)
    run.expect(run.d.processes.pop("entry-2").returncode == 0, "exit code")


@cell("entry draining", "replacement starting")
def entry_rolled(run):
    run.at(1.5)
    run.d.signal("entry-2", signal.SIGTERM)
    run.d.processes["entry-2"].wait(timeout=15)
    run.d.processes.pop("entry-2")
    run.d.start_entry(2)
    wait_for(lambda: run.d.ready(2), 8, "replacement ready")


@cell("owner frozen", "upstream turns cold", lossy="entry")
def owner_frozen_cold(run):
    run.at(2)
    run.d.signal("entry-1", signal.SIGSTOP)
    run.d.admin("stock-1", "cold_ms=5000")
    run.at(3)
    run.d.admin("stock-1", "reset")
    run.at(5)
    run.d.signal("entry-1", signal.SIGCONT)
    run.at(6.8)
    over = run.d.stats("stock-1")["cold_over"]
    run.expect(not over, f"{over} arrivals above what it bears")


# Platform and configuration.

def zone_is_quiet(run, zone, seconds):
    """No new work in the zone for the last so many seconds."""
    idle = min(run.d.stats(n)["idle_ms"] for n in run.in_zone(zone))
    run.expect(idle >= seconds * 1000 - 50,
               f"zone {zone} got work {idle} ms ago")


def revisions(run):
    return {run.d.metric(i, "skylark_config_revision")
            for i in range(run.d.entry_count)}


@cell("zone leaving and returning", "requests waiting")
def zone_out_and_back(run):
    run.at(2)
    run.expect(run.ctl("--wait", "drain zone enna").returncode == 0, "drain")
    accepted = time.monotonic()
    time.sleep(max(0.0, accepted + 4 - time.monotonic()))
    zone_is_quiet(run, "enna", 1)
    run.expect(run.ctl("--wait", "restore zone enna").returncode == 0,
               "restore")
    before = sum(run.d.stats(n)["requests"] for n in run.in_zone("enna"))
    run.at(8.5)
    after = sum(run.d.stats(n)["requests"] for n in run.in_zone("enna"))
    run.expect(after > before, "no work in the restored zone")


@cell("zone leaving", "store outage")
def zone_out_in_outage(run):
    run.at(2)
    run.expect(run.ctl("drain zone enna").returncode == 0, "drain")
    run.d.fault("down")
    time.sleep(4)
    zone_is_quiet(run, "enna", 1)
    run.expect(len(revisions(run)) == 1, "revisions differ")


@cell("store down", "configuration in force")
def store_down(run):
    run.at(1.5)
    run.d.fault("down")
    run.at(6)
    run.expect(all(run.d.ready(i) for i in range(run.d.entry_count)),
               "entries no longer ready")
    run.d.fault("")


@cell("store down", "start-up")
def start_in_outage(run):
    run.at(1.5)
    run.d.fault("down")
    run.d.start_entry(run.d.entry_count)
    index = run.d.entry_count
    try:
        wait_for(lambda: run.d.ready(index), 5, "ready in an outage")
    except TimeoutError as error:
        run.expect(False, str(error))
    run.d.fault("")


@cell("store slow", "configuration being adopted")
def store_slow(run):
    run.at(1.5)
    run.d.fault("delay_ms=700")
    run.expect(run.ctl("--wait", "drain zone enna").returncode == 0, "drain")
    run.d.fault("")
    run.expect(len(revisions(run)) == 1, "revisions differ")


@cell("store returns old revision", "configuration in force")
def store_old(run):
    run.at(1.5)
    run.ctl("--wait", "drain zone enna")
    run.d.fault("old")
    run.at(6)
    run.expect(revisions(run) == {max(revisions(run))} and
               max(revisions(run)) > 2, f"revisions {revisions(run)}")
    zone_is_quiet(run, "enna", 1)
    run.d.fault("")


@cell("instance list empty", "any")
def list_empty(run):
    run.at(2)
    run.d.fault("forget_instances")
    run.at(6)
    events = run.ctl("timeline", "--kind", "configuration").stdout
    run.expect("held back" in events, "no event tells of it")


@cell("write takes effect, answer lost", "configuration being written")
def write_answer_lost(run):
    run.at(1.5)
    run.d.fault("lose_writes=1")
    got = run.ctl("--wait", "--timeout-ms", "9000", "create zone agira")
    run.expect(got.returncode == 0, f"exit {got.returncode}: {got.stderr}")
    run.expect(run.ctl("show zones where zone = agira").stdout
               .count("agira") == 1, "zone is not there once")


def race(run):
    """Eight operators change different things at the same time."""
    commands = [f"create zone z{i}" for i in range(8)]
    started = [subprocess.Popen(
        [str(run.d.bin / "skylark-ctl"), "--entry",
         run.d.control(i % run.d.entry_count), "--timeout-ms", "9000", text],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        for i, text in enumerate(commands)]
    codes = [process.wait() for process in started]
    shown = json.loads(run.ctl("--json", "show zones").stdout)
    present = {row[0] for row in shown["rows"]}
    for i, code in enumerate(codes):
        run.expect(code != 0 or f"z{i}" in present,
                   f"accepted change {i} is not there")
        run.expect(code != 1, f"change {i} was refused")
    return codes


@cell("racing operators", "configuration being written")
def racing_operators(run):
    run.at(1.5)
    codes = race(run)
    run.expect(codes == [0] * 8, f"exit codes {codes}")


@cell("racing operators", "write answers lost")
def racing_with_loss(run):
    run.at(1.5)
    run.d.fault("lose_writes=2")
    race(run)
    run.d.fault("")


@cell("document does not parse", "configuration being adopted")
def broken_document(run):
    run.at(1.5)
    before = revisions(run)
    revision = int(max(before))
    http("PUT", run.d.platform, f"/v1/kv/skylark/config?cas={revision}",
         "{\"zones\": 3}")
    run.at(4)
    run.expect(revisions(run) == before, "a broken document was adopted")
    events = run.ctl("timeline", "--kind", "configuration").stdout
    run.expect("refused: document/zones" in events, "no event tells of it")

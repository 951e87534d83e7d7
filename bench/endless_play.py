"""One play: a machine, faulty and sound servers, callers of both."""

import asyncio
import dataclasses
import multiprocessing
import os
import pathlib
import shutil
import signal
import tempfile
import time

import endless_callers as callers
import endless_machine as machines
import endless_servers as servers

GRACE_S = 6.0  # between SIGTERM and SIGKILL (PROTOCOL.md)
TIMEOUT_MS = 6000
SETTLE_S = 1.0
FAULTY_PER_CALLERS = 150  # max_conns of a service is 220 for each server
SOUND = 4  # servers of the other callers
KEPT, NEW = 8, 2  # other callers
CONTROL = "direct"  # a caller that asks a server without the entry


@dataclasses.dataclass
class Play:
    """What is played."""

    forms: list
    statuses: list
    paces: list
    readings: list  # the callers take them in turn, as methods
    methods: list
    callers: int = 12
    share: float = 1.0
    memory_mb: int = 160
    stop: bool = False
    kill: bool = False
    seconds: float = 4.0
    deadline_s: float = 3.0
    other_deadline_s: float = 2.0
    seed: int = 1

    def title(self):
        return (f"{'+'.join(self.forms)} {'/'.join(map(str, self.statuses))} "
                f"{'+'.join(self.paces)} {'+'.join(self.readings)} "
                f"{'+'.join(self.methods)} callers={self.callers} share={self.share} "
                f"memory={self.memory_mb}{' stop' if self.stop else ''}"
                f"{' kill' if self.kill else ''} "
                f"seed={self.seed}")


@dataclasses.dataclass
class Result:
    """What was seen. Findings are breaches; a play without any is good."""

    findings: list
    line: str


def raise_exit(*_):
    """Handler of SIGTERM: ends the play and what it started."""
    raise SystemExit(128 + signal.SIGTERM)


def run_child(target, *args):
    """Body of each process of a play."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    target(*args)


def run_store(pipe, folder, items):
    """Body of the process of the platform's store."""
    async def serve():
        store = machines.d.Store(machines.d.Record(folder))
        for key, value in items:
            store.put(key, value)
        await store.start()
        pipe.send(store.port)
        await asyncio.sleep(3600)
    asyncio.run(serve())


def configuration():
    """A faulty and a sound service, both with routes of each kind."""
    routes = [(name, prefix, kind, TIMEOUT_MS, 250, service)
              for name, prefix, kind, service in (
                  ("endless", "/endless/", "safe", "faulty"),
                  ("endless-post", "/endless-post/", "unsafe", "faulty"),
                  ("small", "/small/", "safe", "sound"),
                  ("small-post", "/small-post/", "unsafe", "sound"))]
    out = machines.d.configuration(5, routes, ["faulty", "sound"])
    for row in out["services"]["rows"]:
        row[out["services"]["columns"].index("warmup_per_s")] = 5000.0
    return out


class Stage:
    """Processes of one play; use as a context manager."""

    def __init__(self, play, program, net=0):
        self.play, self.program, self.net = play, program, net
        self.context = multiprocessing.get_context("fork")
        self.processes = []
        self.stops, self.kills = [], []

    def __enter__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="endless-"))
        try:
            self.start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        if hasattr(self, "machine") and self.machine.process:
            self.machine.release()
            self.machine.stop()
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.join()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def launch(self, target, *args):
        """Starts a process that reports on a pipe."""
        here, there = self.context.Pipe(duplex=False)
        process = self.context.Process(
            target=run_child, args=(target, there, *args), daemon=True)
        process.start()
        self.processes.append(process)
        there.close()
        return here

    def start(self):
        zones = machines.d.ZONES
        faulty = 2 + self.play.callers // FAULTY_PER_CALLERS
        items = [("op/config", configuration())]
        for service, kind, count in (("faulty", servers.EndlessServer, faulty),
                                     ("sound", servers.Server, SOUND)):
            for index in range(count):
                server = kind(service, index, zones[index % len(zones)], 1000,
                              self.folder / f"arrived-{service}-{index}")
                items.append((f"servers/{server.id}", server.entry_value()))
                self.launch(lambda _, one=server: one.run())
                self.sound_port = server.port
                server.listener.close()
        port = self.launch(run_store, self.folder, items).recv()
        self.machine = machines.Machine(self.folder, port, self.program,
                                        self.net, self.play.share,
                                        self.context)
        self.machine.write_settings(
            ["{}:{}".format(*self.machine.control)])
        self.machine.start()
        if not self.machine.wait_ready():
            raise RuntimeError("the entry ended in its start")
        time.sleep(SETTLE_S)

    def passed_on(self):
        names = set()
        for path in self.folder.glob("arrived-sound-*"):
            names.update(path.read_text("utf-8").split())
        return names

    def watch(self, until):
        while time.monotonic() < until and self.machine.observe():
            time.sleep(0.02)

    def stop_and_restart(self):
        """A planned stop; the machine starts again behind it."""
        begin = time.monotonic()
        if not self.machine.observe():
            return "ended before the stop"
        if self.play.kill:
            self.machine.kill()
            in_time, how = True, "killed"
        else:
            in_time = self.machine.stop_planned(GRACE_S)
            how = "stopped"
        took = time.monotonic() - begin
        self.machine.start()
        self.machine.wait_ready()
        spans = self.kills if self.play.kill else self.stops
        spans.append((begin, time.monotonic()))
        return f"{how} in {took:.2f} s{'' if in_time else ' by SIGKILL'}"

    def run(self):
        play = self.play
        place = self.machine.front
        begin = time.monotonic()
        end = begin + 0.5 + play.seconds
        if play.stop or play.kill:
            end += GRACE_S + 2.0 + play.seconds / 2
        others = [callers.OtherCaller(
            place, f"other{index}", index < KEPT, ("GET", "POST")[index % 2],
            play.other_deadline_s, end) for index in range(KEPT + NEW)]
        # Shows how slow the stand-ins are themselves.
        others.append(callers.OtherCaller(
            ("127.0.0.1", self.sound_port), CONTROL, True, "GET",
            play.other_deadline_s, end))
        asked = [f"{form}/{status}/{pace}" for form in play.forms
                 for status in play.statuses for pace in play.paces]
        endless = [callers.EndlessCaller(
            place, f"endless{index}",
            play.methods[index // len(play.readings) % len(play.methods)],
            asked, play.readings[index % len(play.readings)],
            play.deadline_s, end, play.seed * 1000 + index)
            for index in range(play.callers)]
        from_others = self.launch(callers.run_others, others)
        self.watch(begin + 0.5)
        used = self.machine.cpu_s()
        from_endless = self.launch(callers.run_endless, endless)
        stopped = ""
        if play.stop or play.kill:
            self.watch(begin + 0.5 + play.seconds)
            stopped = self.stop_and_restart()
        self.watch(end)
        used = self.machine.cpu_s() - used
        calls, unreached = from_others.recv()
        ends, taken = from_endless.recv()
        self.machine.observe()
        self.machine.finish()
        return self.result(calls, unreached, ends, taken, used, stopped)

    def result(self, calls, unreached, ends, taken, used, stopped):
        machine, play = self.machine, self.play
        direct = callers.judge([call for call in calls if
                                call.name.startswith(CONTROL)], (), ())
        calls = [call for call in calls if not call.name.startswith(CONTROL)]
        passed_on = self.passed_on()
        kept = callers.judge([call for call in calls if call.kept],
                             passed_on, self.stops, self.kills)
        new = callers.judge([call for call in calls if not call.kept],
                            passed_on, self.stops, self.kills)
        unreached = [at for at in unreached if not any(
            begin <= at <= end + callers.CONNECT_S
            for begin, end in self.stops + self.kills)]
        findings = [f"ended by itself: {end}" for end in machine.ends]
        peak_mb = max(machine.peak_mb, machine.peak_sum_mb)
        if peak_mb > play.memory_mb:
            findings.append(f"memory {peak_mb:.0f} MB of "
                            f"{play.memory_mb}")
        for text, verdict in (("kept", kept), ("new", new)):
            if verdict.lost:
                one = verdict.lost[0]
                state = "passed on" if one.name in passed_on else "not run"
                findings.append(
                    f"lost {len(verdict.lost)} of {verdict.asked} on {text} "
                    f"connections, the first {one.name} {one.cause} after "
                    f"{one.ended - one.sent:.2f} s, {state}")
        if unreached:
            findings.append(f"no connection {len(unreached)} times")
        line = (f"{play.title()}: {machine.peak_mb:.0f} MB, "
                f"with sockets {machine.peak_sum_mb:.0f} MB (received "
                f"{machine.at_peak.received / machines.BYTES_IN_MB:.0f}, "
                f"unsent {machine.at_peak.unsent / machines.BYTES_IN_MB:.0f}), cpu {used:.2f} s, "
                f"queued {machine.queued_s:.2f} s, direct slowest "
                f"{direct.slowest_ms:.0f} ms; others kept {kept.asked} lost {len(kept.lost)} refused "
                f"{kept.refused} failed {kept.failed} p50 {kept.p50_ms:.1f} "
                f"slowest {kept.slowest_ms:.0f} ms; new {new.asked} lost "
                f"{len(new.lost)}; endless {dict(ends.most_common(4))} "
                f"{taken / 1e6:.0f} MB{'; ' + stopped if stopped else ''}; "
                f"{'; '.join(findings) if findings else 'good'}")
        return Result(findings, line)


def run_play(play, program, net=0):
    """Runs one play to its end; ends each process that it started."""
    signal.signal(signal.SIGTERM, raise_exit)
    with Stage(play, program, net) as stage:
        return stage.run()

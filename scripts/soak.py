#!/usr/bin/env python3
"""Seeded soak of real processes on the platform's interface.

Exit code 0: no finding; 1: findings; 2: the soak itself failed.
docs/design/soak.md tells what is played and judged.
"""

import argparse
import collections
import json
import pathlib
import shutil
import subprocess
import sys
import time

from soaklib.bounds import Bounds
from soaklib.endless import endless_scenes
from soaklib.evidence import Evidence
from soaklib.fleet import ROOT, ZONES, Fleet
from soaklib.judge import judge, report, summary
from soaklib.memory import MemoryWatch
from soaklib.player import Player
from soaklib.records import read_calls, read_ledgers
from soaklib.schedule import Schedule
from soaklib.shape import SHAPES

KINDS = ["book", "read", "pipelined", "upload", "book", "idle", "heavy",
         "upload_chunked", "read", "bulk", "follow", "follow", "half_closed",
         "slow"]
# Mean pause of callers on added routes, in seconds.
ADDED_THINK = 0.1
# Callers of one worker process.
WORKER_SIZE = 150


def caller_specs(args, fleet):
    """Callers that stay, and those that follow the directory."""
    if fleet.shape:
        return fleet.shape.caller_specs(args.seed, args.load, args.stay,
                                        args.half_closed)
    specs = []
    for entry in fleet.entries:
        for _ in range(args.callers):
            index = len(specs)
            specs.append({
                "name": f"s{args.seed}-c{index}",
                "kind": KINDS[index % len(KINDS)], "entry": entry,
                "zone": ZONES[index % len(ZONES)],
                "seed": args.seed * 100_000 + index, "think": args.think,
                "keep": 3 if index % 5 == 0 else 1})
    for entry in fleet.entries * args.half_closed:
        specs.append({"name": f"s{args.seed}-h{len(specs)}",
                      "kind": "half_closed_read", "entry": entry,
                      "zone": ZONES[0],
                      "seed": args.seed * 100_000 + len(specs),
                      "think": args.think, "keep": 1})
    # Requests on added routes tell whether a configuration is in force.
    for entry in fleet.entries if args.restores else ():
        specs.append({"name": f"s{args.seed}-a{len(specs)}", "kind": "added",
                      "entry": entry, "zone": ZONES[0],
                      "seed": args.seed * 100_000 + len(specs),
                      "think": ADDED_THINK, "keep": 1})
    return specs


def start_workers(args, fleet):
    specs = caller_specs(args, fleet)
    workers = []
    for first in range(0, len(specs), WORKER_SIZE):
        name = f"callers-{first // WORKER_SIZE}"
        plan = {"callers": specs[first:first + WORKER_SIZE],
                "callers_of": {e: fleet.callers_of(e) for e in fleet.entries},
                "directory_of": {e: fleet.address(e, 8083)
                                 for e in fleet.entries},
                "added": str(fleet.added),
                "records": str(fleet.out / f"{name}.jsonl")}
        path = fleet.out / f"{name}.json"
        path.write_text(json.dumps(plan), encoding="utf-8")
        workers.append(subprocess.Popen(
            [sys.executable, "-m", "soaklib.callers", str(path)],
            cwd=ROOT / "scripts", stdin=subprocess.PIPE))
        fleet.processes[name] = workers[-1]
    return workers


def scenes_of(args, fleet, shape):
    schedule = Schedule(args.seed, args.seconds, fleet.entries, args.servers,
                        args.pace, args.restores)
    if not shape:
        return schedule.scenes()
    if args.all_scenes:
        return shape.possible(schedule.scenes())
    return shape.scenes(fleet.entries, args.seconds, args.retire)


def play(args, out, bounds):
    """One run; returns evidence, its begin, and failures of the soak."""
    shape = SHAPES.get(args.shape)
    if shape:
        args.entries, args.servers = shape.entries, shape.places
    with Fleet(args, out, bounds, shape) as fleet, MemoryWatch(fleet) as watch:
        workers = start_workers(args, fleet)
        began = time.monotonic()
        player = Player(fleet, bounds)
        scenes = scenes_of(args, fleet, shape)
        player.play(scenes + endless_scenes(
            args.seed, args.endless, scenes, fleet.places, fleet.service_of))
        player.calm()
        time.sleep(args.calm)
        for worker in workers:
            worker.stdin.close()
        for worker in workers:
            worker.wait(timeout=60)
        for entry in fleet.entries:
            if not fleet.running(entry):
                fleet.note_exit(entry)
        watch.finish()
        calls = read_calls(sorted(out.glob("callers-*.jsonl")))
        events = list(fleet.events)
        failures = player.failures + [
            f"{name} ended with {process.returncode}"
            for name, process in fleet.processes.items()
            if name.startswith("callers") and process.returncode]
    (out / "events.jsonl").write_text("".join(
        json.dumps(event.__dict__) + "\n" for event in events),
        encoding="utf-8")
    return Evidence(calls, read_ledgers(out / "ledger"), events,
                    bounds), began, failures


def run_once(args, bounds):
    build = pathlib.Path(args.build or ROOT / "build").resolve()
    out = build / "soak" / f"net-{args.net}" / f"seed-{args.seed}"
    evidence, began, failures = play(args, out, bounds)
    findings = judge(evidence)
    lines = list(report(evidence, findings, args.seed, began))
    (out / "findings.txt").write_text("\n".join(lines) + "\n",
                                      encoding="utf-8")
    print(f"seed {args.seed}: {summary(evidence, findings)}", flush=True)
    shown = collections.Counter()
    for line in lines:
        rule = line.split()[0]
        shown[rule] += 1
        if shown[rule] <= args.show:
            print("  " + line)
    for failure in failures:
        print(f"  soak failed: {failure}")
    if failures:
        return 2
    if findings:
        return 1
    if not args.keep:
        shutil.rmtree(out)
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--callers", type=int, default=48,
                        help="of each entry; a seventh follows the directory")
    parser.add_argument("--think", type=float, default=0.5,
                        help="mean pause between two requests, in seconds")
    parser.add_argument("--pace", type=float, default=0.6,
                        help="scenes a second")
    parser.add_argument("--restores", type=int, default=0,
                        help="returns of the store from a copy")
    parser.add_argument("--endless", type=int, default=0,
                        help="scenes in which servers answer without an end")
    parser.add_argument("--memory-mb", type=float, default=Bounds.memory_mb,
                        help="bound on the resident memory of an entry")
    parser.add_argument("--half-closed", type=int, default=0,
                        help="callers of each entry that shut their sending "
                        "side behind a GET")
    parser.add_argument("--shape", choices=sorted(SHAPES), default=None,
                        help="a deployment with its own servers, routes, "
                        "callers and stops")
    parser.add_argument("--load", type=float, default=1.0,
                        help="of a shape, times its usual requests")
    parser.add_argument("--all-scenes", action="store_true",
                        help="play the schedule of the seed with a shape, "
                        "in place of its own stops")
    parser.add_argument("--retire", action="store_true",
                        help="stops of a shape come beside a configuration "
                        "that retires a service")
    parser.add_argument("--calm", type=float, default=3.0)
    parser.add_argument("--net", type=int, default=150)
    parser.add_argument("--build", default=None)
    parser.add_argument("--stay", action="store_true",
                        help="callers of a shape use what the directory has "
                        "named until it fails")
    parser.add_argument("--keep", action="store_true",
                        help="keep the files of good runs too")
    parser.add_argument("--show", type=int, default=5,
                        help="findings of each rule that a run prints")
    args = parser.parse_args()
    worst = 0
    for seed in range(args.seed, args.seed + args.runs):
        args.seed = seed
        worst = max(worst, run_once(args, Bounds(memory_mb=args.memory_mb)))
    return worst


if __name__ == "__main__":
    sys.exit(main())

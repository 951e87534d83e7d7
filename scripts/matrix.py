"""Fault matrix with real processes: one row for each cell.

Each cell starts a fresh deployment, runs load, lets faults happen at stated
times, and checks the invariants that apply. Exit code 1 on any red cell that
KNOWN-RED.txt does not list.
"""

import argparse
import sys
import time

from deployment import Deployment, ROOT
from matrix_cells import CELLS, FLOWS, Run


def judge(run, result, lossy):
    ledger = result["ledger"]
    for key in ("doubled", "false_refusals", "lost"):
        run.expect(ledger[key] == 0, f"{key} {ledger[key]}")
    run.expect(result["wrong_answers"] == 0, "answers of other requests")
    run.expect(ledger["keys"] > 500, "too few bookings to judge")
    ends = {}
    for name, flow in result["flows"].items():
        for key, count in flow["ends"].items():
            ends[key] = ends.get(key, 0) + count
        good = flow["ends"]["answered"]
        run.expect(good > 0, f"no progress of {name}")
    bad = sum(ends.values()) - ends["answered"]
    if lossy:
        # Callers keep the address of a dead or frozen entry for its life
        # time and the silence limit; one in six entries, 9 seconds.
        bound = 0.05 if lossy == "entry" else 0.02
        run.expect(bad < bound * sum(ends.values()), f"{bad} not answered")
    else:
        run.expect(bad == 0, f"{bad} not answered: {ends}")
    return ends


def run_cell(name, seed, net, seconds, build):
    function, options = CELLS[name]
    deployment = Deployment(
        "small", 6, net=net, build=build, upstream_args=options.get("upstream_args"),
        out=ROOT / "out" / f"matrix-{net}")
    if not options.get("wait_warm", True):
        deployment.all_warm = lambda: True
    if options.get("wire"):
        add_wire(deployment)
    with deployment:
        run = Run(deployment, seed)
        process = deployment.start_load("load", FLOWS, seconds, seed)
        run.start = time.monotonic()
        try:
            function(run)
        except (OSError, TimeoutError) as error:
            run.findings.append(f"{type(error).__name__}: {error}")
        process.communicate()
        run.expect(process.returncode == 0,
                   f"the load ended with code {process.returncode}")
        for ended, code in deployment.crashed().items():
            run.findings.append(f"{ended} ended with code {code}")
        ends = {}
        try:
            ends = judge(run, deployment.result("load"), options.get("lossy"))
        except (OSError, ValueError) as error:
            run.findings.append(f"no result of the load: {error}")
    return run.findings, ends


def add_wire(deployment):
    """Puts a forwarding process before one booking upstream."""
    start_upstream = deployment.start_upstream

    def with_wire(service, index, extra=()):
        if (service, index) != ("booking", 0):
            start_upstream(service, index, extra)
            return
        front = f"127.{deployment.net}.9.1:9000"
        own = f"127.{deployment.net}.11.1:9000"
        deployment.launch("wire", ["standin-wire", "--listen", front, "--to",
                                   own])
        start_upstream(service, index, ["--advertise", front])
    deployment.start_upstream = with_wire


def known_red():
    path = ROOT / "KNOWN-RED.txt"
    return path.read_text() if path.exists() else ""


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a cell's name")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=9)
    parser.add_argument("--net", type=int, default=50)
    parser.add_argument("--build", help="folder of the build, if not build")
    args = parser.parse_args()
    print(f"seed {args.seed}")
    red = 0
    listed = known_red()
    for name in CELLS:
        if args.only not in name:
            continue
        findings, ends = run_cell(name, args.seed, args.net, args.seconds,
                                  args.build)
        excused = findings and name in listed
        verdict = "good" if not findings else "known" if excused else "RED"
        red += verdict == "RED"
        counts = " ".join(f"{k} {v}" for k, v in ends.items() if v)
        print(f"{verdict:5s} {name:55s} {counts}"
              + "".join(f"\n      {text}" for text in findings), flush=True)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())

"""An availability zone leaves and returns under load.

Targets: accepted to in force everywhere under 1 s at 16 entries; last new
work in the zone at most 3 s after acceptance; p99 at most 1.5 of the steady
run while the remaining zones have the capacity; no booking lost or doubled.
Also counts probes for each upstream and second against the budget of 2.
"""

import argparse
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from deployment import Deployment  # noqa: E402

STOCK = {"name": "stock", "path": "/stock?size=1024", "rate": 2000.0}
BOOKING = {"name": "booking", "method": "POST", "path": "/booking",
           "rate": 200.0, "keyed": True, "body_bytes": 200}


def ctl(d, text):
    begin = time.monotonic()
    subprocess.run([str(d.bin / "skylark-ctl"), "--entry", d.control(0),
                    "--wait", text], check=True, stdout=subprocess.DEVNULL)
    return time.monotonic() - begin


def window(result, flow, first, last):
    """Worst p99 of the seconds, and all calls that were not answered."""
    seconds = result["flows"][flow]["seconds"][first:last]
    worst = max(s["latency"]["p99_ms"] for s in seconds)
    mean = sum(s["latency"]["p99_ms"] for s in seconds) / len(seconds)
    bad = sum(sum(s["ends"].values()) - s["ends"]["answered"]
              for s in seconds)
    return mean, worst, bad


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", default="carrick")
    parser.add_argument("--entries", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=43)
    args = parser.parse_args()
    with Deployment(args.shape, args.entries, net=args.net) as d:
        zone = d.shape["zones"][1]
        inside = [n for n in d.upstreams if d.zone_of[n] == zone]
        process = d.start_load("zone", [STOCK, BOOKING], 22, args.seed,
                               warmup_s=0)
        start = time.monotonic()
        start_wall = time.time()
        time.sleep(7)
        drained = ctl(d, f"drain zone {zone}")
        accepted = time.monotonic() - drained
        time.sleep(4)
        now = time.monotonic()
        last = max(now - d.stats(n)["idle_ms"] / 1000 for n in inside)
        time.sleep(max(0, start + 14 - time.monotonic()))
        restored = ctl(d, f"restore zone {zone}")
        process.communicate()
        events = subprocess.run(
            [str(d.bin / "skylark-ctl"), "--entry", d.control(0), "timeline",
             "--json"], check=True, capture_output=True, text=True).stdout
        (d.out / "events.json").write_text(events)
        with open(d.out / "zone.svg", "w", encoding="utf-8") as plot:
            subprocess.run(
                [sys.executable, str(ROOT / "scripts" / "plot.py"),
                 str(d.out / "zone.json"), "--timeline",
                 str(d.out / "events.json"), "--start-ms",
                 str(int(start_wall * 1000))], check=True, stdout=plot)
        print(f"plot: {(d.out / 'zone.svg').relative_to(ROOT)}")
        result = d.result("zone")
        probes = max(d.stats(n)["probe_max"] for n in d.upstreams)
    print(f"{args.shape}, {args.entries} entries, seed {args.seed}")
    print(f"in force everywhere, command and all: drain {drained:.2f} s, "
          f"restore {restored:.2f} s")
    print(f"last new work in the zone {last - accepted:.2f} s after the "
          "command was given")
    for flow in ("stock", "booking"):
        steady = window(result, flow, 2, 7)
        leaving = window(result, flow, 7, 12)
        back = window(result, flow, 14, 19)
        print(f"{flow}: p99 by second, mean (worst): steady {steady[0]:.1f} "
              f"({steady[1]:.1f}), leaving {leaving[0]:.1f} "
              f"({leaving[1]:.1f}), returning {back[0]:.1f} ({back[1]:.1f});"
              f" ratios {leaving[0] / steady[0]:.2f} "
              f"{back[0] / steady[0]:.2f}; not answered "
              f"{steady[2]} {leaving[2]} {back[2]}")
    print(f"ledger {result['ledger']}; most probes of one upstream in one "
          f"second {probes}")


if __name__ == "__main__":
    main()

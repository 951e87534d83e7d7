"""Compares routing policies in one deployment, changed by operator commands.

The policies take turns in rounds, so that a slower or faster machine meets
all of them alike. Prints a row for each policy and load, and its ratio to
local least in flight.
"""

import argparse
import json
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
from deployment import Deployment  # noqa: E402

SERVICE_US = 5000
SLOW_FACTOR = 3.0
SLOW_SHARE = 0.2


def command(deployment, text):
    subprocess.run([str(deployment.bin / "skylark-ctl"), "--entry",
                    deployment.control(0), "--wait", text], check=True,
                   stdout=subprocess.DEVNULL)


def capacity(shape, service):
    spec = shape["services"][service]
    mean_s = SERVICE_US * 1e-6 * (1 - SLOW_SHARE + SLOW_SHARE * SLOW_FACTOR)
    return spec["upstreams"] * spec["slots"] / mean_s


def configure(deployment, service, variant):
    policy, _, hedge = variant.partition("+")
    command(deployment, f"alter service {service} policy {policy}")
    command(deployment, f"set hedge_percent {hedge or 0}")


def measure(deployment, name, rate, seconds, seed):
    flows = [{"name": "stock", "path": "/stock?size=256", "rate": rate}]
    result, _ = deployment.load(name, flows, seconds, seed,
                                callers_per_zone=6)
    return result["flows"]["stock"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", default="retecilia")
    parser.add_argument("--entries", type=int, default=16)
    parser.add_argument("--loads", default="0.6,0.8,0.9")
    parser.add_argument("--variants", default="round_robin,least_in_flight,"
                        "preferred_least,preferred_least+5")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=40)
    parser.add_argument("--build", default=None)
    args = parser.parse_args()
    upstream_args = {"service-us": SERVICE_US, "slow-factor": SLOW_FACTOR,
                     "slow-share": SLOW_SHARE}
    with Deployment(args.shape, args.entries, net=args.net, build=args.build,
                    upstream_args=upstream_args) as deployment:
        service = next(iter(deployment.shape["services"]))
        for load in [float(x) for x in args.loads.split(",")]:
            rate = capacity(deployment.shape, service) * load
            rows = {}
            for round_index in range(args.rounds):
                for variant in args.variants.split(","):
                    configure(deployment, service, variant)
                    name = f"{variant}-{load}-{round_index}"
                    rows.setdefault(variant, []).append(measure(
                        deployment, name, rate, args.seconds,
                        args.seed + round_index))
            show(args, load, rate, rows)


def show(args, load, rate, rows):
    def mean(variant, key):
        values = [row["latency"][key] for row in rows[variant]]
        return sum(values) / len(values)
    base = "least_in_flight" if "least_in_flight" in rows else next(iter(rows))
    print(f"{args.shape}, {args.entries} entries, {load:.0%} of slots, "
          f"{rate:.0f} calls/s, seeds {args.seed}.."
          f"{args.seed + args.rounds - 1}")
    for variant, results in rows.items():
        ends = {key: sum(r["ends"][key] for r in results)
                for key in results[0]["ends"]}
        bad = sum(v for k, v in ends.items() if k != "answered")
        print(f"  {variant:22s} p50 {mean(variant, 'p50_ms'):7.2f}  "
              f"p99 {mean(variant, 'p99_ms'):7.2f} "
              f"({mean(variant, 'p99_ms') / mean(base, 'p99_ms'):4.2f})  "
              f"p99.9 {mean(variant, 'p999_ms'):7.2f} "
              f"({mean(variant, 'p999_ms') / mean(base, 'p999_ms'):4.2f})  "
              f"calls {ends['answered']} not answered {bad}", flush=True)


if __name__ == "__main__":
    main()

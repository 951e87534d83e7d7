"""Urgent checks alone, and with a flood of plan downloads on the same upstreams.

Target: p99 of urgent with the flood at most 1.1 of urgent alone; bulk makes
progress. With --without-reserve the service's urgent reserve is zero, to show
what the mechanism is worth.
"""

import argparse
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
from deployment import Deployment  # noqa: E402

URGENT = {"name": "urgent", "path": "/urgent?size=512", "rate": 200.0,
          "deadline_ms": 1000}
FLOOD = {"name": "plans", "path": "/plans?size=500000&us=400000",
         "rate": 150.0, "deadline_ms": 4000, "read_bytes": 10000000}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", default="retecilia")
    parser.add_argument("--entries", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=42)
    parser.add_argument("--without-reserve", action="store_true")
    args = parser.parse_args()
    with Deployment(args.shape, args.entries, net=args.net) as d:
        if args.without_reserve:
            service = list(d.shape["services"])[2]
            subprocess.run([str(d.bin / "skylark-ctl"), "--entry",
                            d.control(0), "--wait",
                            f"alter service {service} urgent_reserve 0"],
                           check=True)
        rows = []
        for i in range(args.rounds):
            seed = args.seed + i
            alone, _ = d.load(f"alone-{i}", [URGENT], args.seconds, seed)
            both, _ = d.load(f"both-{i}", [URGENT, FLOOD], args.seconds, seed)
            rows.append((alone["flows"]["urgent"]["latency"],
                         both["flows"]["urgent"]["latency"],
                         both["flows"]["plans"]["ends"]))
        bulk = max(d.stats(n)["bulk_max"] for n in d.upstreams)
    for key in ("p50_ms", "p99_ms", "p999_ms"):
        alone = sum(r[0][key] for r in rows) / len(rows)
        both = sum(r[1][key] for r in rows) / len(rows)
        print(f"urgent {key}: alone {alone:.2f}, with the flood {both:.2f}, "
              f"ratio {both / alone:.2f}")
    print(f"most bulk on one upstream at once: {bulk}; plans "
          f"{rows[-1][2]}")


if __name__ == "__main__":
    main()

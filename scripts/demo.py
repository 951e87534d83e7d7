"""Runs a whole deployment for 20 seconds and prints what callers saw."""

import argparse
import sys

from deployment import Deployment

FLOWS = [
    {"name": "stock", "path": "/stock?size=1024", "rate": 1500.0},
    {"name": "booking", "method": "POST", "path": "/booking", "rate": 150.0,
     "keyed": True, "body_bytes": 200},
    {"name": "plans", "path": "/plans?size=2000000", "rate": 5.0,
     "deadline_ms": 8000},
    {"name": "urgent", "path": "/urgent?size=512", "rate": 100.0,
     "deadline_ms": 1000},
]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", default="retecilia",
                        choices=["retecilia", "carrick"])
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=20)
    parser.add_argument("--build", default=None)
    args = parser.parse_args()
    with Deployment(args.shape, args.entries, build=args.build,
                    net=args.net) as deployment:
        print(f"{len(deployment.processes)} processes, shape {args.shape}, "
              f"{args.seconds:g} s, seed {args.seed}", flush=True)
        result, table = deployment.load("demo", FLOWS, args.seconds,
                                        args.seed)
        print(table)
    ledger = result["ledger"]
    wrong = ledger["doubled"] + ledger["false_refusals"] + ledger["lost"]
    silent = [name for name, flow in result["flows"].items()
              if not flow["ends"]["answered"]]
    if silent:
        print("no answers at all:", ", ".join(silent))
    return 1 if wrong or result["wrong_answers"] or silent else 0


if __name__ == "__main__":
    sys.exit(main())

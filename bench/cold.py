"""Work on cold upstreams: shares against baselines, 16 entries.

Each upstream bears one request while cold. Shares: the document's cold_slots
is 1. Even fraction: below one slot for each entry, rounded up to one, which is
cold_slots 16. No coordination: cold_slots 96. Counts arrivals above what a
cold upstream bears, and the most requests at hand on one.
"""

import argparse
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
from deployment import Deployment  # noqa: E402

VARIANTS = {"shares": 1, "even fraction": 16, "no coordination": 96}
STOCK = {"name": "stock", "path": "/stock?size=1024", "rate": 1500.0}
COLD_MS = 9000


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=44)
    args = parser.parse_args()
    for name, cold_slots in VARIANTS.items():
        deployment = Deployment(
            "retecilia", 16, net=args.net,
            service={"slots": 96, "cold_slots": cold_slots},
            upstream_args={"cold-ms": COLD_MS})
        deployment.all_warm = lambda: True  # they are cold on purpose
        with deployment as d:
            time.sleep(1)  # the entries agree and probe
            result, _ = d.load("cold", [STOCK], 4, args.seed)
            stats = [d.stats(n) for n in d.upstreams
                     if n.startswith("stock")]
        ends = result["flows"]["stock"]["ends"]
        print(f"{name}: most at hand on one cold upstream "
              f"{max(s['cold_max'] for s in stats)}, arrivals above what it "
              f"bears {sum(s['cold_over'] for s in stats)} of "
              f"{sum(s['requests'] for s in stats)}; answered "
              f"{ends['answered']}, not run {ends['not_run']}", flush=True)


if __name__ == "__main__":
    main()

"""Faulty servers send answers without an end while others use the entry.

Guards against an entry that ends by itself, runs out of memory or loses other
callers' requests on kept connections. Exit code 1 in these cases.
"""

import argparse
import dataclasses
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "bench"))

import endless_play  # noqa: E402
from endless_callers import READINGS  # noqa: E402
from endless_servers import FORMS  # noqa: E402

# Of the smallest machines in the users' site files.
MEMORY_MB = 160
SHARE = 0.2
METHODS = ["GET", "POST"]
STATUSES = [200, 500]


# Each is named after what it guards against.
PLAYS = {
    "abort-behind-partial-write": endless_play.Play(
        ["one-chunk", "huge-length", "one-byte-chunks", "event-pieces"],
        STATUSES, ["fast"], ["read", "slow"], METHODS, callers=24, seconds=3),
    "memory-for-unread-answers": endless_play.Play(
        ["one-chunk", "huge-length", "no-length", "events"],
        STATUSES, ["fast"], ["none"], METHODS, callers=400, seconds=5,
        deadline_s=5.0),
    "lost-in-planned-stop": endless_play.Play(
        list(FORMS), STATUSES, ["fast", "pieces", "paced"], list(READINGS),
        METHODS, callers=48, share=SHARE, stop=True, seconds=2),
    "lost-behind-pieces-of-a-stream": endless_play.Play(
        ["event-pieces"], STATUSES, ["fast"], ["read", "none"], METHODS,
        callers=400, share=SHARE, seconds=5, deadline_s=5.0),
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=ROOT / "build")
    parser.add_argument("--net", type=int, default=95)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plays", nargs="+", choices=PLAYS,
                        default=list(PLAYS))
    args = parser.parse_args()
    program = (pathlib.Path(args.build) / "bin" / "skylark-entry").resolve()
    broken = 0
    for name in args.plays:
        play = dataclasses.replace(PLAYS[name], seed=args.seed,
                                   memory_mb=MEMORY_MB)
        result = endless_play.run_play(play, program, args.net)
        broken += bool(result.findings)
        print(f"{name}: {result.line}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Plays answers without an end behind one entry, and judges what other callers
get meanwhile, its memory (its own and what the kernel keeps for its sockets)
and whether it ends by itself.

Prints one line for each play. Exit status 1 if an entry ended by itself, used
more memory than its machine has, or lost another caller's request.
"""

import argparse
import itertools
import pathlib
import random
import sys

import endless_play
from endless_callers import READINGS
from endless_servers import FORMS, PACES

ROOT = pathlib.Path(__file__).resolve().parent.parent
METHODS = ("GET", "POST")
CALLERS = (12, 100, 400)
SHARES = (1.0, 0.2, 0.1)
MEMORY_MB = (160, 260)


def matrix(args):
    """Each form, status and pace once; the seed draws what is not given."""
    draw = random.Random(args.seed)
    cells = list(itertools.product(args.form or FORMS, args.status or
                                   (200, 500), args.pace or PACES))
    draw.shuffle(cells)
    for number, (form, status, pace) in enumerate(cells[:args.plays]):
        yield endless_play.Play(
            [form], [status], [pace],
            args.reading or [draw.choice(READINGS)],
            args.method or [draw.choice(METHODS)],
            callers=args.callers or draw.choice(CALLERS),
            share=args.share or draw.choice(SHARES),
            memory_mb=args.memory_mb or draw.choice(MEMORY_MB),
            stop=args.stop or (args.stops and draw.random() < 0.2),
            kill=args.kill, seconds=args.seconds, deadline_s=args.deadline_s,
            other_deadline_s=args.other_deadline_s,
            seed=args.seed * 1000 + number)


def single(args):
    """All the given forms at once."""
    yield endless_play.Play(
        args.form or ["event-pieces"], args.status or [200],
        args.pace or ["fast"], args.reading or ["read"],
        args.method or ["GET"], callers=args.callers or 12,
        share=args.share or 1.0, memory_mb=args.memory_mb or 160,
        stop=args.stop, kill=args.kill, seconds=args.seconds,
        deadline_s=args.deadline_s, other_deadline_s=args.other_deadline_s,
        seed=args.seed)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry", type=pathlib.Path, default=ROOT / "target" /
                        "bin" / "skylark-entry", help="the program")
    parser.add_argument("--all", action="store_true",
                        help="each form, status and pace in a play of its own")
    parser.add_argument("--plays", type=int, help="at most so many of them")
    parser.add_argument("--stops", action="store_true",
                        help="a planned stop in a fifth of them")
    parser.add_argument("--form", nargs="+", choices=sorted(FORMS))
    parser.add_argument("--status", nargs="+", type=int)
    parser.add_argument("--pace", nargs="+", choices=PACES)
    parser.add_argument("--reading", nargs="+", choices=READINGS)
    parser.add_argument("--method", nargs="+", choices=METHODS)
    parser.add_argument("--callers", type=int)
    parser.add_argument("--share", type=float, help="of a processor")
    parser.add_argument("--memory-mb", type=int, choices=(*MEMORY_MB, 512))
    parser.add_argument("--stop", action="store_true",
                        help="SIGTERM meanwhile, and a start behind it")
    parser.add_argument("--kill", action="store_true",
                        help="SIGKILL meanwhile, and a start right behind it")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--deadline-s", type=float, default=3,
                        help="of endless answers")
    parser.add_argument("--other-deadline-s", type=float, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=0,
                        help="the entry listens on 127.NET.1.1")
    args = parser.parse_args()
    broken = 0
    for play in matrix(args) if args.all else single(args):
        result = endless_play.run_play(play, args.entry.resolve(), args.net)
        broken += bool(result.findings)
        print(result.line, flush=True)
    print(f"{broken} plays with findings")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

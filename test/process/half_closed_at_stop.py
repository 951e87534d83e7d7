"""Callers that end their input around a planned stop of the entries that they
wait for, with real processes.

By default as the entries are told to stop: they are frozen meanwhile, so that
the signal and the end of the input are there before they run again. With
--restarted after their new start, while a supervisor still counts the stop; with
--signalled-again it counts from a second signal, just before the process ends.
Each caller must get its upstream's answer. Exit code 1 otherwise.
"""

import argparse
import collections
import concurrent.futures
import math
import pathlib
import signal
import socket
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import deployment as dep  # noqa: E402
from staying_callers import Incoming  # noqa: E402

dep.SHAPES["half_closed_at_stop"] = {
    "zones": ["a"],
    "region": "r",
    "services": {"stock": {"upstreams": 8, "slots": 6}},
    "rules": [{"name": "look", "service": "stock", "method": "GET",
               "path_prefix": "/stock", "idempotent": True,
               "deadline_ms": 4000}],
    "connections": 400,
}

GRACE_S = 6.0
# Just after a start, the end of a caller's input is no reason either.
AFTER_START_S = 7.2
AT_WORK_S = 0.2
# After a new start, less than a stop with RESTART_GRACE_S counts.
AFTER_RESTART_S = 4.0
RESTART_GRACE_S = 10.0
# A stop lasts longer than this; its second signal counts until 1 s after the
# grace.
SECOND_SIGNAL_S = 2.2
AFTER_SECOND_SIGNAL_S = RESTART_GRACE_S - 0.4
FREEZE_S = 0.1  # shorter than what counts as a pause


def ask(address):
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)), timeout=10)
    connection.sendall(b"GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n")
    return connection


def end_of(connection):
    """Status of the answer, and when it had come."""
    with connection:
        answer = Incoming(connection).answer()
    return answer.status if answer else 0, time.monotonic()


def stop(deployment, names, callers):
    for name in names:
        deployment.signal(name, signal.SIGSTOP)
    end_input(callers)
    for name in names:
        deployment.signal(name, signal.SIGTERM)
    time.sleep(FREEZE_S)
    for name in names:
        deployment.signal(name, signal.SIGCONT)


def restart(deployment, names, signalled_again):
    """Returns until when each caller must get its answer."""
    for name in names:
        deployment.signal(name, signal.SIGTERM)
    if signalled_again:
        time.sleep(SECOND_SIGNAL_S)
        for name in names:
            deployment.signal(name, signal.SIGTERM)
    signalled = time.monotonic()
    for index, name in enumerate(names):
        deployment.processes[name].wait()
        deployment.start_entry(index)
    if not signalled_again:
        time.sleep(AFTER_RESTART_S)
        return math.inf
    time.sleep(signalled + AFTER_SECOND_SIGNAL_S - time.monotonic())
    return signalled + RESTART_GRACE_S + 1.0


def end_input(callers):
    for caller in callers:
        caller.shutdown(socket.SHUT_WR)


def run(args):
    with dep.Deployment(
            "half_closed_at_stop", args.entries, build=args.build,
            net=args.net, out=pathlib.Path(args.build or ROOT / "build") /
            f"half-closed-at-stop-{args.net}",
            upstream_args={"service-us": 1_000_000},
            settings={"killed_after_s": RESTART_GRACE_S if args.restarted
                      else GRACE_S}) as deployment:
        names = [f"entry-{index}" for index in range(args.entries)]
        if args.restarted:
            counted = restart(deployment, names, args.signalled_again)
        else:
            counted = math.inf
            time.sleep(AFTER_START_S)
        callers = [ask(deployment.callers(index % args.entries))
                   for index in range(args.entries * args.callers)]
        time.sleep(AT_WORK_S)
        if args.restarted:
            end_input(callers)
        else:
            stop(deployment, names, callers)
        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            ends = list(pool.map(end_of, callers))
    print(f"{len(callers)} requests by status: "
          f"{dict(collections.Counter(status for status, _ in ends))}")
    lost = [status for status, at in ends if status != 200 and at < counted]
    if lost:
        print(f"{len(lost)} of them while the stop counts")
    return 1 if lost else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=99)
    parser.add_argument("--entries", type=int, default=24)
    parser.add_argument("--callers", type=int, default=3,
                        help="of each entry")
    parser.add_argument("--restarted", action="store_true")
    parser.add_argument("--signalled-again", action="store_true",
                        help="a second time, before the restart")
    args = parser.parse_args()
    args.restarted |= args.signalled_again
    return run(args)


if __name__ == "__main__":
    sys.exit(main())

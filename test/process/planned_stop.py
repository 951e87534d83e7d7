"""A planned stop of one entry under load, with real processes.

Callers stay on the entry's connections until its process is gone. Every request
that was sent whole must get a whole answer, or a refusal that says that it has
not run. Exit code 1 otherwise.
"""

import argparse
import collections
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import deployment as dep  # noqa: E402
from staying_callers import PipeliningCaller, StayingCaller  # noqa: E402

dep.SHAPES["planned_stop"] = {
    "zones": ["a"],
    "region": "r",
    "services": {"booking": {"upstreams": 8, "slots": 6}},
    "rules": [{"name": "book", "service": "booking", "method": "POST",
               "path_prefix": "/booking", "idempotent": False,
               "deadline_ms": 8000}],
    "connections": 400,
}

GRACE_S = 6.0
# The users' rules: a request that was not passed on may be cut so soon.
LOSS_SLACK_S = 0.2
# They excuse a cut in the last sixth of the grace of what was sent by then.
EXCUSED_SENT_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
SHORT_STALL_S = 0.35  # of the machine; longer ones count as a freeze


def executions(folder):
    """How often each request ran, by its key."""
    counts = collections.Counter()
    for path in folder.iterdir():
        counts.update(path.read_text().split())
    return counts


def judge(calls, ran, stopped, long_work):
    """Findings, and how many requests ended in which way."""
    findings = []
    ends = collections.Counter()
    for call in calls:
        sent, ended = call.sent - stopped, call.ended - stopped
        times = ran[call.key]
        text = (f"{call.key} sent {sent:+.2f} s, ended {ended:+.2f} s, "
                f"status {call.status}, ran {times} {call.detail}")
        if times > 1:
            findings.append("run twice: " + text)
        if call.status:
            ends[f"{call.status} {call.verdict}"] += 1
            if call.verdict == "not-run" and times:
                findings.append("refused though run: " + text)
            continue
        if long_work and times and sent <= EXCUSED_SENT_S and \
                ended >= LAST_SIXTH_S:
            ends["cut, excused"] += 1
        elif not times and call.ended - call.sent <= LOSS_SLACK_S:
            ends["crossed the close"] += 1
        else:
            ends["lost"] += 1
            findings.append("lost: " + text)
    return findings, ends


def stall(deployment, stalled_s):
    """Keeps the entry from running for so long."""
    deployment.signal("entry-1", signal.SIGSTOP)
    time.sleep(stalled_s)
    deployment.signal("entry-1", signal.SIGCONT)


def stop(deployment, frozen_s):
    """Signals the entry; it is frozen then, for so long."""
    if frozen_s:
        deployment.signal("entry-1", signal.SIGSTOP)
    deployment.signal("entry-1", signal.SIGTERM)
    if frozen_s:
        time.sleep(frozen_s)
        deployment.signal("entry-1", signal.SIGCONT)


def run(args):
    with dep.Deployment(
            "planned_stop", 3, build=args.build, net=args.net,
            out=pathlib.Path(args.build or ROOT / "build") /
            f"planned-stop-{args.net}",
            upstream_args={"service-us": args.service_us},
            settings={"killed_after_s": GRACE_S}) as deployment:
        kind = PipeliningCaller if args.pipelined else StayingCaller
        callers = [kind(deployment.callers(1), f"c{i}", args.deadline_ms)
                   for i in range(args.callers)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        if args.stalled_s:
            stall(deployment, args.stalled_s)
            time.sleep(args.running_again_s)
        ended_before = False
        stopped = time.monotonic()
        stop(deployment, args.frozen_s)
        if args.stalled_at:
            time.sleep(max(0.0, stopped + args.stalled_at - time.monotonic()))
            ended_before = deployment.processes["entry-1"].poll() is not None
            if not ended_before:
                stall(deployment, SHORT_STALL_S)
        if args.held_up_at:
            time.sleep(max(0.0, stopped + args.held_up_at - time.monotonic()))
            deployment.signal("entry-1", signal.SIGSTOP)
        process = deployment.processes.pop("entry-1")
        try:
            process.wait(timeout=stopped + GRACE_S - time.monotonic())
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        gone = time.monotonic() - stopped
        for caller in callers:
            caller.join(timeout=20)
        calls = [call for caller in callers for call in caller.calls]
        findings, ends = judge(calls, executions(deployment.out / "ledger"),
                               stopped, args.long_work)
    print(f"{len(calls)} requests, the entry ended after {gone:.2f} s with "
          f"code {process.returncode}: {dict(ends)}")
    for line in findings[:20]:
        print(line)
    if ended_before:
        findings.append("the entry ended before the stall")
        print(findings[-1])
    if process.returncode != 0:
        findings.append("the entry did not end by itself")
    if sum(1 for call in calls if call.sent > stopped) < args.callers:
        findings.append("too few requests after the signal to judge")
        print(findings[-1])
    late = [call for call in calls
            if call.status == 200 and call.sent > stopped]
    if args.deadline_ms < GRACE_S * 1000 / 2 and len(late) < args.callers:
        findings.append("too few of them were served, though they end in time")
        print(findings[-1])
    return 1 if findings else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=91)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--service-us", type=int, default=200_000)
    parser.add_argument("--deadline-ms", type=int, default=8000)
    parser.add_argument("--frozen-s", type=float, default=0.0)
    parser.add_argument("--stalled-s", type=float, default=0.0,
                        help="the entry did not run just before the signal")
    parser.add_argument("--running-again-s", type=float, default=0.0,
                        help="between that and the signal")
    parser.add_argument("--stalled-at", type=float, default=0.0,
                        help="the entry doesn't run for a moment then, seconds "
                        "after the signal")
    parser.add_argument("--held-up-at", type=float, default=0.0,
                        help="the entry gets no processor time from then on, "
                        "seconds after the signal")
    parser.add_argument("--long-work", action="store_true",
                        help="work may last into the end of the grace")
    parser.add_argument("--pipelined", action="store_true",
                        help="each caller sends a second request behind")
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())

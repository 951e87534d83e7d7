"""More callers at an entry than it has descriptors.

Guards against an entry that polls its listening socket without a pause while
no descriptor is left, and leaves none for its upstreams: callers in the listen
queue got nothing, the others refusals, and operators no answer. Exit code 1
in these cases.
"""

import argparse
import collections
import os
import pathlib
import resource
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import deployment as dep  # noqa: E402
from staying_callers import StayingCaller  # noqa: E402

dep.SHAPES["no_descriptors"] = {
    "zones": ["a"],
    "region": "r",
    "services": {"booking": {"upstreams": 8, "slots": 6}},
    "rules": [{"name": "book", "service": "booking", "method": "POST",
               "path_prefix": "/booking", "idempotent": False,
               "deadline_ms": 8000}],
    "connections": 400,
}

DESCRIPTORS = 120
CALLERS = 150
SERVICE_US = 100000
DEADLINE_MS = 8000
SECONDS = 6.0
MOST_PROCESSOR = 0.5
LEAST_SERVED = 0.9  # of all answers


class LimitedDeployment(dep.Deployment):
    """Its entries have few descriptors."""

    def launch(self, name, args):
        if args[0] != "skylark-entry":
            super().launch(name, args)
            return
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, before[1]))
        try:
            super().launch(name, args)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)


def processor_s(process):
    """Processor time of a process in seconds."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text("utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def answers_operators(run):
    try:
        dep.wait_for(lambda: run.ready(0), 5, "control port")
    except TimeoutError:
        return False
    return True


def play(run):
    """Lets the callers call; returns them, the entry's processor share, and
    whether it answered operators meanwhile."""
    callers = [StayingCaller(run.callers(0), f"caller-{i}", DEADLINE_MS)
               for i in range(CALLERS)]
    begin = time.monotonic()
    used = processor_s(run.processes["entry-0"])
    for caller in callers:
        caller.limit = begin + SECONDS
        caller.start()
    time.sleep(SECONDS / 2)
    answered = answers_operators(run)
    time.sleep(max(0.0, begin + SECONDS - time.monotonic()))
    used = processor_s(run.processes["entry-0"]) - used
    return callers, used / (time.monotonic() - begin), answered


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=97)
    args = parser.parse_args()
    with LimitedDeployment("no_descriptors", entries=1, build=args.build,
                           net=args.net,
                           upstream_args={"service-us": SERVICE_US}) as run:
        callers, processor, answered = play(run)
        ended = run.processes["entry-0"].poll()
        calls = [list(caller.calls) for caller in callers]
        ends = collections.Counter(call.status for own in calls
                                   for call in own if call.ended)
    unserved = sum(all(call.status != 200 for call in own) for own in calls)
    served = ends[200] / max(1, sum(ends.values()))
    print(f"processor {processor:.2f}, answers {dict(ends)}, "
          f"{unserved} of {CALLERS} callers never served, "
          f"operators answered: {answered}, code {ended}")
    good = (ended is None and answered and unserved == 0 and
            served >= LEAST_SERVED and processor <= MOST_PROCESSOR)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())

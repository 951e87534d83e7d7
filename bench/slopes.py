"""Control costs of an entry by members, by upstreams and by services.

The fleet is idle; each figure is a mean over the entries. The slopes feed
docs/CAPACITY.md.
"""

import argparse
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
import deployment as dep  # noqa: E402
from deployment import Deployment, http  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
FIELDS = ["skylark_heartbeat_sent_bytes_total",
          "skylark_heartbeat_received_bytes_total",
          "skylark_heartbeats_sent_total", "skylark_probes_total",
          "skylark_store_reads_total"]
HEADERS_BYTES = 28  # IP and UDP, for each datagram


def sample(d):
    cpu = 0.0
    rss = 0
    sums = dict.fromkeys(FIELDS, 0.0)
    for i in range(d.entry_count):
        pid = d.processes[f"entry-{i}"].pid
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
        cpu += (int(stat[13]) + int(stat[14])) / TICKS
        rss += int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
        for field in FIELDS:
            sums[field] += d.metric(i, field)
    return cpu, rss * os.sysconf("SC_PAGE_SIZE"), sums


def measure(entries, services, upstreams_each, copies, seconds, net):
    dep.SHAPES["slope"] = {
        **dep.SHAPES["retecilia"],
        "services": {f"s{i}": {"upstreams": upstreams_each, "slots": 6}
                     for i in range(services)},
        "rules": [{"name": f"r{i}", "service": f"s{i}",
                   "path_prefix": f"/s{i}", "idempotent": True}
                  for i in range(services)],
    }
    total = services * upstreams_each * copies
    with Deployment("slope", entries, net=net,
                    limits={"probes_fleet": 2 * total},
                    upstream_args={"count": copies}) as d:
        before = sample(d)
        calls = http("GET", d.platform, "/stats")
        time.sleep(seconds)
        after = sample(d)
        calls = (dep.json.loads(http("GET", d.platform, "/stats"))["calls"]
                 - dep.json.loads(calls)["calls"])
    change = {f: (after[2][f] - before[2][f]) / entries / seconds
              for f in FIELDS}
    wire = (change["skylark_heartbeat_sent_bytes_total"]
            + HEADERS_BYTES * change["skylark_heartbeats_sent_total"])
    print(f"members {entries:3d} services {services:3d} upstreams {total:4d}:"
          f" cpu {100 * (after[0] - before[0]) / entries / seconds:5.2f} %"
          f" of a core, memory {after[1] / entries / 1e6:5.1f} MB, sent "
          f"{wire / 1000:6.2f} kB/s, heartbeats "
          f"{change['skylark_heartbeats_sent_total']:6.1f}/s, probes "
          f"{change['skylark_probes_total']:5.2f}/s, store calls of all "
          f"{calls / seconds:5.1f}/s", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--members", type=int, nargs="*",
                        default=[4, 8, 16, 32])
    parser.add_argument("--net", type=int, default=70)
    args = parser.parse_args()
    for entries in args.members:
        measure(entries, 3, 10, 1, args.seconds, args.net)
    for copies in (4, 16):
        measure(8, 3, 10, copies, args.seconds, args.net)
    measure(8, 3, 10, 1, args.seconds, args.net)
    for services in (10, 40):
        measure(8, services, 3, 1, args.seconds, args.net)


if __name__ == "__main__":
    main()

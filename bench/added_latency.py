"""Latency that one entry adds, its capacity and its memory.

Direct and through-the-entry runs take turns in the same run, against the same
stand-in with 1 kB answers. Capacity is one core over the entry's processor
time for each request.
"""

import argparse
import os
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
import deployment as dep  # noqa: E402
from deployment import Deployment  # noqa: E402

dep.SHAPES["one"] = {
    **dep.SHAPES["retecilia"], "zones": ["catania"],
    "services": {"stock": {"upstreams": 1, "slots": 512},
                 "booking": {"upstreams": 1, "slots": 6},
                 "plans": {"upstreams": 2, "slots": 40}},
    "connections": 4000,
}
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS


def rss_bytes(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def flow(rate):
    return [{"name": "stock", "path": "/stock?size=1024", "rate": rate}]


def direct(d, name, rate, seconds, seed):
    path = d.experiment(name, flow(rate), seconds, seed,
                        entries=[d.upstreams["stock-0"]])
    path.write_text("direct = true\n" + path.read_text())
    import subprocess
    subprocess.run([str(d.bin / "standin-load"), str(path), "--json",
                    str(d.out / f"{name}.json")], check=True,
                   stdout=subprocess.DEVNULL)
    return d.result(name)["flows"]["stock"]["latency"]


def through(d, name, rate, seconds, seed):
    pid = d.processes["entry-0"].pid
    before = cpu_s(pid)
    result, _ = d.load(name, flow(rate), seconds, seed)
    used = cpu_s(pid) - before
    stock = result["flows"]["stock"]
    return stock["latency"], used / (rate * seconds)


def latency(d, args):
    _, cost = through(d, "warm", 4000.0, 4, 1)
    capacity = 1 / cost
    print(f"processor time {cost * 1e6:.1f} us a request at 4000/s: "
          f"{capacity:.0f} requests a second for each core")
    for part in (0.25, 0.75):
        rate = capacity * part
        rows = {"direct": [], "entry": []}
        for i in range(args.rounds):
            rows["direct"].append(direct(d, f"direct-{part}-{i}", rate,
                                         args.seconds, args.seed + i))
            rows["entry"].append(through(d, f"entry-{part}-{i}", rate,
                                         args.seconds, args.seed + i)[0])
        for key in ("p50_ms", "p99_ms"):
            means = {name: sum(row[key] for row in values) / len(values)
                     for name, values in rows.items()}
            each = [e[key] - x[key]
                    for e, x in zip(rows["entry"], rows["direct"])]
            print(f"{part:.0%} of capacity ({rate:.0f}/s) {key}: direct "
                  f"{means['direct']:.3f}, entry {means['entry']:.3f}, added "
                  f"{means['entry'] - means['direct']:.3f} (rounds "
                  + " ".join(f"{x:.3f}" for x in each) + ")", flush=True)


def connect(where):
    host, port = where.split(":")
    return socket.create_connection((host, int(port)))


def idle_memory(d, count):
    pid = d.processes["entry-0"].pid
    before = rss_bytes(pid)
    held = []
    for _ in range(count):
        held.append(connect(d.callers(0)))
        held[-1].sendall(b"GET /stock HTTP/1.1\r\nHost: x\r\n\r\n")
        held[-1].recv(65536)
    grown = rss_bytes(pid) - before
    print(f"idle caller connections: {grown / count:.0f} bytes each "
          f"({count} held)")
    for item in held:
        item.close()
    time.sleep(1)


def download_memory(d, count):
    pid = d.processes["entry-0"].pid
    before = rss_bytes(pid)
    held = []
    for _ in range(count):
        held.append(connect(d.callers(0)))
        held[-1].sendall(b"GET /plans?size=50000000 HTTP/1.1\r\n"
                         b"Host: x\r\n\r\n")
    peak = 0
    for _ in range(20):
        for item in held:
            item.recv(8192)
        time.sleep(0.1)
        peak = max(peak, rss_bytes(pid) - before)
    print(f"50 MB downloads to slow callers: {peak / count:.0f} bytes each "
          f"at the peak ({count} at once)")
    for item in held:
        item.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(f"{os.cpu_count()} cores, seed {args.seed}")
    with Deployment("one", 1, net=60,
                    upstream_args={"service-us": 1}) as d:
        idle_memory(d, 2000)
        download_memory(d, 16)
        latency(d, args)


if __name__ == "__main__":
    main()

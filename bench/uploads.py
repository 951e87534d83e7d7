"""Memory and processor time of an entry for each uploaded MB.

One entry, callers that post large bodies at the same time and wait for their
answers. Give several programs to compare them in turn, round by round:

    python3 bench/uploads.py build/bin/skylark-entry old/bin/skylark-entry
"""

import argparse
import http.client
import os
import pathlib
import statistics
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
from deployment import Deployment  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


class OneEntry(Deployment):
    """A deployment whose entry is a program given by its path."""

    def __init__(self, program, **kwargs):
        super().__init__("retecilia", 1, **kwargs)
        self.program = str(pathlib.Path(program).resolve())

    def launch(self, name, args):
        if args[0] == "skylark-entry":
            args = [self.program] + args[1:]
        super().launch(name, args)


def usage(pid):
    """Processor seconds and the peak of resident memory in MB."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    seconds = sum(int(x) for x in fields.split()[11:13]) / TICKS
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    peak = next(line for line in status.splitlines()
                if line.startswith("VmHWM"))
    return seconds, int(peak.split()[1]) / 1024


def post(address, body, count, answers):
    host, port = address.split(":")
    for _ in range(count):
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("POST", "/booking?size=100", body,
                           {"Request-Timeout-Ms": "8000"})
        answers.append(connection.getresponse().status)
        connection.close()


def run(program, args):
    body = b"u" * args.bytes
    with OneEntry(program, net=args.net) as d:
        pid = d.processes["entry-0"].pid
        seconds, base = usage(pid)
        answers = []
        callers = [threading.Thread(target=post, args=(
            d.callers(0), body, args.uploads, answers))
            for _ in range(args.callers)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        end, peak = usage(pid)
    total = args.bytes * args.callers * args.uploads / 1e6
    good = answers.count(200) / max(1, len(answers))
    return (end - seconds) / total * 1000, peak - base, good


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("programs", nargs="+")
    parser.add_argument("--bytes", type=int, default=360_000)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--uploads", type=int, default=60)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--net", type=int, default=45)
    args = parser.parse_args()
    results = {program: [] for program in args.programs}
    for _ in range(args.rounds):
        for program in args.programs:
            results[program].append(run(program, args))
    for program, rounds in results.items():
        cpu, memory, good = (statistics.median(x) for x in zip(*rounds))
        print(f"{program}: {cpu:.2f} ms of processor time a MB, "
              f"{memory:.1f} MB more at the peak, {good:.3f} answered")


if __name__ == "__main__":
    main()

"""Starts whose standard output or error is of no use.

With all three standard descriptors closed, none of the entry's sockets may take
their numbers, as log lines would be written to it. With an output whose reader
is gone, a start that has to wait for a port must still serve. Exit code 1
otherwise.
"""

import argparse
import os
import pathlib
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from start_on_held_port import Entry, await_true, hold  # noqa: E402


class QuietEntry(Entry):
    """An entry with an output of the caller's choice."""

    def __init__(self, args, folder, host, **output):
        self.output = output
        super().__init__(args, folder, host)

    def start(self, command, _log):
        return subprocess.Popen(command, stdin=subprocess.DEVNULL,
                                **self.output)


def close_all():
    for descriptor in range(3):
        os.close(descriptor)


def closed(args, folder):
    with QuietEntry(args, folder, f"127.{args.net}.1.1",
                    preexec_fn=close_all) as entry:
        if not await_true(lambda: entry.serves() or
                          entry.process.poll() is not None) or \
                entry.process.poll() is not None:
            return ["closed descriptors: it does not serve"]
        targets = [os.readlink(f"/proc/{entry.process.pid}/fd/{number}")
                   for number in range(3)]
    return [f"closed descriptors: {number} is {target}"
            for number, target in enumerate(targets) if target != "/dev/null"]


def reader_gone(args, folder):
    host = f"127.{args.net}.1.2"
    reading, writing = os.pipe()
    os.close(reading)
    with hold(host, "control") as holder, \
            QuietEntry(args, folder, host, stdout=writing,
                       stderr=writing) as entry:
        os.close(writing)
        time.sleep(1.0)
        holder.close()
        await_true(lambda: entry.serves() or entry.process.poll() is not None)
        code = entry.process.poll()
    return [] if code is None else [f"output without a reader: code {code}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=97)
    args = parser.parse_args()
    findings = []
    for case in (closed, reader_gone):
        with tempfile.TemporaryDirectory() as folder:
            findings += case(args, folder)
    for line in findings:
        print(line)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())

"""A start with a soft limit on descriptors far below the hard one.

The entry must raise it and serve. Exit code 1 otherwise.
"""

import argparse
import pathlib
import resource
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from start_on_held_port import Entry, await_true  # noqa: E402

SOFT_LIMIT = 12


def lower_limit():
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (SOFT_LIMIT, hard))


class LimitedEntry(Entry):
    def start(self, command, log):
        return subprocess.Popen(command, stdout=log, stderr=log,
                                stdin=subprocess.DEVNULL,
                                preexec_fn=lower_limit)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=97)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, \
            LimitedEntry(args, folder, f"127.{args.net}.1.1") as entry:
        await_true(lambda: entry.serves() or entry.process.poll() is not None)
        if entry.process.poll() is not None:
            print(f"code {entry.process.returncode}: {entry.text().strip()}")
            return 1
        soft, hard = resource.prlimit(entry.process.pid,
                                      resource.RLIMIT_NOFILE)
    if soft != hard:
        print(f"soft limit {soft}, hard limit {hard}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Faults of a running entry.

Each of the signals of faults must end the process with its status and leave a
line on standard error that names it, followed by the frames of the stack. A
standard error whose reader is gone must not change the status. Exit code 1
otherwise.
"""

import argparse
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIMIT_S = 60.0  # of any wait, on a machine however busy
FAULTS = (signal.SIGABRT, signal.SIGSEGV, signal.SIGBUS, signal.SIGFPE,
          signal.SIGILL)
LINE = re.compile(r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3} FATAL skylark-entry "
                  r"fault signal=(\w+) sender=\d+ pid=(\d+)$", re.MULTILINE)
FRAME = re.compile(r"^\S+\(.*\) ?\[0x[0-9a-f]+\]$", re.MULTILINE)


def settings(net):
    """Of an entry whose platform is away."""
    values = {"name": "entry-0", "zone": "a", "region": "r",
              "callers": f"127.{net}.1.1:8080",
              "control": f"127.{net}.1.1:8081",
              "peer": f"127.{net}.1.1:8082",
              "platform": f"127.{net}.0.1:8500",
              "seeds": [f"127.{net}.1.1:8082"]}
    return "".join(f"{key} = {json.dumps(value)}\n"
                   for key, value in values.items())


def answers(net):
    """Whether the entry answers on its control port, with any status."""
    try:
        with urllib.request.urlopen(f"http://127.{net}.1.1:8081/readyz",
                                    timeout=2.0):
            return True
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False


class Entry:
    """An entry that runs; a context manager."""

    def __init__(self, args, folder, errors):
        path = pathlib.Path(folder) / "entry.toml"
        path.write_text(settings(args.net), encoding="utf-8")
        binary = pathlib.Path(args.build or ROOT / "build") / "bin" / \
            "skylark-entry"
        self.process = subprocess.Popen(
            [str(binary), "--settings", str(path)],
            stdout=subprocess.DEVNULL, stderr=errors,
            stdin=subprocess.DEVNULL)
        end = time.monotonic() + LIMIT_S
        while self.process.poll() is None and not answers(args.net) and \
                time.monotonic() < end:
            time.sleep(0.02)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def end_by(self, which):
        self.process.send_signal(which)
        return self.process.wait(timeout=LIMIT_S)


def reported(args, folder, which):
    errors = pathlib.Path(folder) / "errors"
    with open(errors, "w", encoding="utf-8") as out, \
            Entry(args, folder, out) as entry:
        code = entry.end_by(which)
        pid = entry.process.pid
    text = errors.read_text("utf-8")
    findings = []
    if code != -which:
        findings.append(f"{which.name}: code {code}")
    if LINE.findall(text) != [(which.name, str(pid))]:
        findings.append(f"{which.name}: no line: {text!r}")
    if len(FRAME.findall(text)) < 3:
        findings.append(f"{which.name}: no frames: {text!r}")
    return findings


def reader_gone(args, folder, which):
    with Entry(args, folder, subprocess.PIPE) as entry:
        entry.process.stderr.close()
        code = entry.end_by(which)
    return [] if code == -which else \
        [f"{which.name} without a reader: code {code}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=97)
    args = parser.parse_args()
    findings = []
    for which in FAULTS:
        with tempfile.TemporaryDirectory() as folder:
            findings += reported(args, folder, which)
    with tempfile.TemporaryDirectory() as folder:
        findings += reader_gone(args, folder, signal.SIGABRT)
    for line in findings:
        print(line)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())

"""Signals to an entry that has not read its settings yet.

The settings come through a named pipe, so the process waits in their midst
until the signal was sent; or a preloaded library raises it before main().
SIGTERM must end it with code 0, without a port that was open; SIGHUP must not
end it. Exit code 1 otherwise.
"""

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIMIT_S = 60.0  # of any wait, on a machine however busy


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


class Start:
    """An entry that is held in its start; a context manager."""

    def __init__(self, args, folder, before_main=None):
        self.net = args.net
        self.path = pathlib.Path(folder) / "entry.toml"
        self.log = pathlib.Path(folder) / "entry.log"
        os.mkfifo(self.path)
        build = pathlib.Path(args.build or ROOT / "build").absolute()
        entry = build / "bin" / "skylark-entry"
        environment = dict(os.environ)
        if before_main is not None:
            environment["LD_PRELOAD"] = str(
                build / "lib" / "libraise_in_constructor.so")
            environment["RAISED_SIGNAL"] = str(before_main.value)
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [str(entry), "--settings", str(self.path)], stdout=log,
                stderr=log, stdin=subprocess.DEVNULL, env=environment)
        self.pipe = self.open_pipe()

    def open_pipe(self):
        """The writing end once the process reads, None if it ended before."""
        while self.process.poll() is None:
            try:
                return os.fdopen(
                    os.open(self.path, os.O_WRONLY | os.O_NONBLOCK), "w",
                    encoding="utf-8")
            except OSError:  # no reader yet
                time.sleep(0.005)
        return None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.pipe is not None:
            self.pipe.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def go_on(self):
        """Gives the settings; a reload finds them in a plain file."""
        text = settings(self.net)
        plain = self.path.with_suffix(".new")
        plain.write_text(text, encoding="utf-8")
        plain.replace(self.path)
        if self.pipe is None:
            return  # it has ended; its code is judged
        try:
            self.pipe.write(text)
            self.pipe.close()
        except BrokenPipeError:
            pass  # it has ended; its code is judged


def terminated(args, folder, early):
    when = "before main()" if early else "before the settings were read"
    with Start(args, folder, signal.SIGTERM if early else None) as start:
        if not early:
            start.process.send_signal(signal.SIGTERM)
        start.go_on()
        code = start.process.wait(timeout=LIMIT_S)
        text = start.log.read_text("utf-8")
    if code != 0:
        return [f"SIGTERM {when}: code {code}"]
    if "drain" in text:
        return [f"SIGTERM {when}: it listened"]
    return []


def reloaded(args, folder, early):
    when = "before main()" if early else "before the settings were read"
    with Start(args, folder, signal.SIGHUP if early else None) as start:
        if not early:
            start.process.send_signal(signal.SIGHUP)
        start.go_on()
        end = time.monotonic() + LIMIT_S
        while start.process.poll() is None and not answers(args.net):
            if time.monotonic() > end:
                return [f"SIGHUP {when}: no start"]
            time.sleep(0.02)
        if start.process.poll() is not None:
            return [f"SIGHUP {when}: code {start.process.returncode}"]
        start.process.send_signal(signal.SIGTERM)
        code = start.process.wait(timeout=LIMIT_S)
    return [f"SIGTERM after it: code {code}"] if code else []


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=97)
    args = parser.parse_args()
    findings = []
    for case in (terminated, reloaded):
        for early in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                findings += case(args, folder, early)
    for line in findings:
        print(line)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())

"""A start while a port is still held, as by a predecessor that was killed.

Each port in turn is held for a second: the entry must wait without opening any
other, and then serve. SIGTERM in the wait must end it at once with code 0,
SIGHUP must not end it, and a port that stays held must end it with code 2 and
its address. The last start follows a predecessor that is killed with many open
connections. Exit code 1 otherwise.
"""

import argparse
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIMIT_S = 60.0  # of any wait, on a machine however busy
HELD_S = 1.0
AT_ONCE_S = 3.0  # for a signal, far below the limit of the wait
PORTS = {"callers": 8080, "control": 8081, "peer": 8082, "lookup": 8083,
         "ready": 8084}


def await_true(condition, limit_s=LIMIT_S):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.02)
    return True


class Entry:
    """An entry whose platform is away; a context manager."""

    def __init__(self, args, folder, host):
        self.host = host
        path = pathlib.Path(folder) / f"{host}.toml"
        values = {"name": "entry-0", "zone": "a", "region": "r",
                  "platform": f"127.{args.net}.0.1:8500",
                  "seeds": [f"{host}:8082"]}
        values.update({key: f"{host}:{port}" for key, port in PORTS.items()})
        path.write_text("".join(f"{key} = {json.dumps(value)}\n"
                                for key, value in values.items()), "utf-8")
        self.log = path.with_suffix(".log")
        binary = pathlib.Path(args.build or ROOT / "build") / "bin" / \
            "skylark-entry"
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = self.start(
                [str(binary), "--settings", str(path)], log)

    def start(self, command, log):
        return subprocess.Popen(command, stdout=log, stderr=log,
                                stdin=subprocess.DEVNULL)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def text(self):
        return self.log.read_text("utf-8")

    def opened(self):
        """Names of the TCP ports that take connections."""
        out = []
        for name, port in PORTS.items():
            with socket.socket() as probe:
                probe.settimeout(2.0)
                if name != "peer" and \
                        probe.connect_ex((self.host, port)) == 0:
                    out.append(name)
        return out

    def serves(self):
        return len(self.opened()) == len(PORTS) - 1

    def waits(self):
        return self.process.poll() is not None or \
            "waiting for a port" in self.text()

    def end_by(self, which):
        began = time.monotonic()
        self.process.send_signal(which)
        return self.process.wait(timeout=LIMIT_S), time.monotonic() - began


def hold(host, name):
    kind = socket.SOCK_DGRAM if name == "peer" else socket.SOCK_STREAM
    holder = socket.socket(socket.AF_INET, kind)
    holder.bind((host, PORTS[name]))
    if name != "peer":
        holder.listen()
    return holder


def becomes_free(args, folder, name):
    host = f"127.{args.net}.1.{list(PORTS).index(name) + 1}"
    with hold(host, name) as holder, Entry(args, folder, host) as entry:
        await_true(entry.waits)
        time.sleep(HELD_S)
        if entry.process.poll() is not None:
            return [f"{name} was held: code {entry.process.returncode}: "
                    f"{entry.text().strip()}"]
        findings = [f"{name} was held: {other} took connections"
                    for other in entry.opened() if other != name]
        holder.close()
        if not await_true(lambda: entry.serves() or
                          entry.process.poll() is not None) or \
                entry.process.poll() is not None:
            findings.append(f"{name} was released: it does not serve")
        elif "ports are free" not in entry.text():
            findings.append(f"{name} was released: no line")
        return findings


def signals_in_the_wait(args, folder):
    host = f"127.{args.net}.1.6"
    with hold(host, "control"), Entry(args, folder, host) as entry:
        await_true(entry.waits)
        if entry.process.poll() is None:
            entry.process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
        if entry.process.poll() is not None:
            return [f"SIGHUP in the wait: code {entry.process.returncode}"]
        code, took_s = entry.end_by(signal.SIGTERM)
    if code != 0 or took_s > AT_ONCE_S:
        return [f"SIGTERM in the wait: code {code} after {took_s:.1f} s"]
    return []


def killed_before(args, folder):
    host = f"127.{args.net}.1.7"
    callers = []
    with Entry(args, folder, host) as before:
        await_true(before.serves)
        for _ in range(400):
            caller = socket.create_connection((host, PORTS["callers"]), 10.0)
            caller.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n")
            callers.append(caller)
        before.process.kill()
        with Entry(args, folder, host) as entry:
            before.process.wait()
            served = await_true(lambda: entry.serves() or
                                entry.process.poll() is not None)
            code = entry.process.poll()
    for caller in callers:
        caller.close()
    return [] if served and code is None else \
        [f"behind a killed process: code {code}"]


def stays_held(entry):
    code = entry.process.wait(timeout=LIMIT_S)
    text = entry.text()
    if code != 2 or f"listen: got {entry.host}:8081" not in text:
        return [f"control stays held: code {code}: {text.strip()}"]
    return []


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=None)
    parser.add_argument("--net", type=int, default=97)
    args = parser.parse_args()
    findings = []
    with tempfile.TemporaryDirectory() as folder:
        host = f"127.{args.net}.1.8"
        with hold(host, "control"), Entry(args, folder, host) as held:
            for name in PORTS:
                findings += becomes_free(args, folder, name)
            findings += signals_in_the_wait(args, folder)
            findings += killed_before(args, folder)
            findings += stays_held(held)
    for line in findings:
        print(line)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())

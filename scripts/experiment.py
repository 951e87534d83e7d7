"""Runs an experiment file: a deployment, load, faults at stated times.

    python3 scripts/experiment.py bench/experiments/zone.toml

Writes result.json, events.json and plot.svg for each policy under out/ and
prints the table. Keys of the file:

    shape, entries, seconds, seed, policies = ["preferred_least", ...]
    [noise]  service_us, slow_factor, slow_share
    [limits] as in the configuration document
    [[flow]] name, method, path, rate, keyed, deadline_ms, body_bytes, ...
    [[fault]] at_s, and one of: command = "drain zone enna",
              platform = "down", upstream = "stock-1" with admin = "mode=shed",
              signal = "KILL" with process = "entry-2"
"""

import argparse
import pathlib
import signal
import subprocess
import sys
import threading
import time
import tomllib

from deployment import SHAPES, Deployment, ROOT

KEYS = {"shape", "entries", "seconds", "seed", "policies", "noise", "limits",
        "flow", "fault"}
FAULT_KINDS = ("command", "platform", "upstream", "signal")


def check(experiment, path):
    """Stops with place and value when the file is wrong."""
    unknown = set(experiment) - KEYS
    if unknown:
        sys.exit(f"{path}: got key {sorted(unknown)[0]}, expected one of: "
                 f"{', '.join(sorted(KEYS))}")
    if experiment.get("shape", "retecilia") not in SHAPES:
        sys.exit(f"{path}: got shape {experiment['shape']}, expected one of: "
                 f"{', '.join(SHAPES)}")
    if not experiment.get("flow"):
        sys.exit(f"{path}: got no [[flow]], expected at least one")
    for fault in experiment.get("fault", []):
        if not any(kind in fault for kind in FAULT_KINDS):
            sys.exit(f"{path}: got fault {fault}, expected one of: "
                     f"{', '.join(FAULT_KINDS)}")


def ctl(deployment, *args):
    return subprocess.run(
        [str(deployment.bin / "skylark-ctl"), "--entry",
         deployment.control(0), "--entry", deployment.control(1), *args],
        capture_output=True, text=True, check=False)


def strike(deployment, fault):
    """Lets one fault happen."""
    if "command" in fault:
        got = ctl(deployment, fault["command"])
        if got.returncode:
            print(f"{fault['command']}: {got.stderr.strip()}")
    elif "platform" in fault:
        deployment.fault(fault["platform"])
    elif "upstream" in fault:
        deployment.admin(fault["upstream"], fault["admin"])
    else:
        number = getattr(signal, "SIG" + fault["signal"])
        deployment.signal(fault["process"], number)


def strike_all(deployment, faults, start):
    for fault in sorted(faults, key=lambda item: item["at_s"]):
        time.sleep(max(0.0, start + fault["at_s"] - time.monotonic()))
        strike(deployment, fault)


def run_policy(experiment, policy, out):
    noise = {key.replace("_", "-"): value
             for key, value in experiment.get("noise", {}).items()}
    with Deployment(experiment.get("shape", "retecilia"),
                    experiment.get("entries", 16), net=80, out=out,
                    policy=policy, limits=experiment.get("limits"),
                    upstream_args=noise) as deployment:
        process = deployment.start_load(
            "result", experiment["flow"], experiment.get("seconds", 10),
            experiment.get("seed", 1), warmup_s=0)
        wall_ms = int(time.time() * 1000)
        faults = threading.Thread(target=strike_all, args=(
            deployment, experiment.get("fault", []), time.monotonic()))
        faults.start()
        table, _ = process.communicate()
        faults.join()
        events = ctl(deployment, "timeline", "--json").stdout
        (out / "events.json").write_text(events)
    with open(out / "plot.svg", "w", encoding="utf-8") as plot:
        subprocess.run(
            [sys.executable, str(ROOT / "scripts" / "plot.py"),
             str(out / "result.json"), "--timeline",
             str(out / "events.json"), "--start-ms", str(wall_ms)],
            check=True, stdout=plot)
    return table


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("file")
    args = parser.parse_args()
    path = pathlib.Path(args.file)
    try:
        experiment = tomllib.loads(path.read_text())
    except tomllib.TOMLDecodeError as error:
        sys.exit(f"{path}: {error}")
    check(experiment, path)
    for policy in experiment.get("policies", ["preferred_least"]):
        out = ROOT / "out" / f"{path.stem}-{policy}"
        table = run_policy(experiment, policy, out)
        print(f"{path.name}, policy {policy}, seed "
              f"{experiment.get('seed', 1)}\n{table}"
              f"plot: {(out / 'plot.svg').relative_to(ROOT)}", flush=True)


if __name__ == "__main__":
    main()

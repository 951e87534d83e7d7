"""The directory names a machine that was killed long before, after another
machine has frozen for a moment."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
from harness import BOUNDS, TROUBLE, Test, config, now  # noqa: E402

MACHINES = 14            # of a small deployment
NAMED_S = BOUNDS["stable_window_ms"] / 1000 + 3.0  # of the rule
ALLOWED = 3              # answers that may name a machine later than that
FREEZE_AFTER_S = 6.5     # after the kill
FREEZE_S = 1.0
END_S = 12.0
ASK_EVERY_S = 0.1


async def play(test):
    route = {"name": "lookup", "host": "labels.example", "prefix": "/label/",
             "kind": "safe", "service": "labels", "timeout_ms": 1000,
             "target_latency_ms": 250, "priority": 1, "max_attempts": 2}
    test.store.put("op/config", config(
        7, [route], [{"name": "labels", "health_path": "/health",
                      "max_conns": 220}]))
    for index in range(3):
        await test.add_server(f"i-{index}", "labels", test.zones[index])
    names = await test.start_entries(MACHINES)
    await asyncio.sleep(6.0)

    # Machines that keep a key in the store, the latest writer first.
    writers = []
    for key, item in sorted(test.store.items.items(),
                            key=lambda entry: -entry[1][1]):
        if not key.startswith(("op/", "servers/")):
            writers += [n for n in names
                        if f"{test.host(n)}:".encode() in item[0]]
    test.record.add("writers", *writers)
    frozen = writers[0]
    dead = random.choice([n for n in names if n not in writers])
    dead_address = f"{test.host(dead)}:8080"
    test.signal(dead, signal.SIGKILL)
    test.entries[dead].wait()
    killed = now()
    late = []
    asked = 0

    async def ask(name):
        nonlocal asked
        while now() < killed + END_S:
            await asyncio.sleep(ASK_EVERY_S)
            at = now()
            with contextlib.suppress(OSError, asyncio.TimeoutError,
                                     ValueError):
                status, _, body = await test.ask(
                    test.host(name), 8083,
                    "/resolve?name=labels.example&region=bretagne&zone=rennes")
                addresses = json.loads(body)["addresses"]
                named = dead_address in addresses
                test.record.add("directory", name, status, len(addresses),
                                "names the dead" if named else "")
                asked += 1
                if named and len(addresses) > 1 and at - killed > NAMED_S:
                    late.append((at - killed, name))

    async def freeze():
        await asyncio.sleep(killed + FREEZE_AFTER_S - now())
        if TROUBLE:
            test.signal(frozen, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            test.signal(frozen, signal.SIGCONT)

    # The frozen machine is not in touch and is not asked.
    await asyncio.gather(freeze(), *(ask(name) for name in names
                                     if name not in (dead, frozen)))
    if late:
        print(f"DRAIN: {len(late)} answers of {len({n for _, n in late})} "
              f"machines name {dead} {late[0][0]:.2f} to {late[-1][0]:.2f} s "
              f"after it was killed; {frozen} was frozen {FREEZE_AFTER_S} s "
              f"after the kill for {FREEZE_S} s")
    print(f"{asked} answers, {len(late)} name the dead machine too late")
    if not asked:
        return 2
    return 1 if len(late) > ALLOWED else 0


async def main():
    async with Test(pathlib.Path(__file__).resolve().parent) as test:
        return await play(test)


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)

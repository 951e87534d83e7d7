"""Answers that servers truncate, without closing their connections, keep the
consumers waiting far beyond the time limit of their route."""

import asyncio
import pathlib
import random
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
from harness import TROUBLE, Consumer, Test, config, now  # noqa: E402

SHARE = 0.35             # of the servers, of garble in the site file
PART = 0.02              # of their answers
SENT = 0.9               # of a truncated body
TIMEOUT_S = 1.0          # timeout_ms of the route
DEADLINE_MS = 2000       # of the consumers
LATER_S = 0.5            # of the rule
LEAST, MORE_THAN = 8, 0.25
RATE = 184               # requests a second
LENGTH_S = 35.0


async def play(test):
    route = {"name": "stock", "host": "nets.example", "prefix": "/stock/",
             "kind": "safe", "service": "stock",
             "timeout_ms": int(TIMEOUT_S * 1000), "target_latency_ms": 250,
             "priority": 1, "max_attempts": 2}
    test.store.put("op/config", config(
        7, [route], [{"name": "stock", "health_path": "/health",
                      "max_conns": 220}]))
    begin = [False]
    for index in range(17):
        faulty = TROUBLE and index < int(17 * SHARE)

        def truncates(faulty=faulty):
            if faulty and begin[0] and random.random() < PART:
                return SENT
            return None
        await test.add_server(f"i-{index}", "stock", test.zones[index % 3],
                              work=lambda: random.uniform(0.06, 0.12),
                              truncates=truncates)
    names = await test.start_entries(6)
    results, tasks, idle = [], set(), {name: [] for name in names}

    async def request(entry):
        pool = idle[entry]
        consumer = pool.pop() if pool else Consumer(test, entry,
                                                    "nets.example")
        results.append(await consumer.send("/stock/1", deadline=DEADLINE_MS))
        pool.append(consumer)

    await asyncio.sleep(4.0)
    begin[0] = True
    end = now() + LENGTH_S
    while now() < end:
        task = asyncio.create_task(request(random.choice(names)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*tasks)
    # The end of the connection counts as an answer here.
    lasting = [r for r in results if r.ended - r.sent > TIMEOUT_S]
    late = [r for r in lasting if r.ended - r.sent > TIMEOUT_S + LATER_S]
    truncated = {name for server in test.servers for name in server.truncated}
    for result in late[:5]:
        print(f"CONFIG: request {result.id} had no final answer "
              f"{result.ended - result.sent:.2f} s after it was sent; status "
              f"{result.status}, {'whole' if result.whole else 'cut'}, "
              f"{'truncated by its server' * (result.id in truncated)}")
    served = sum(1 for r in results if r.status == 200 and r.whole)
    print(f"{len(results)} requests, {served} served, {len(truncated)} "
          f"truncated, {len(lasting)} lasted longer than timeout_ms, "
          f"{len(late)} of them had no final answer {LATER_S} s later")
    if served < len(results) / 2:
        return 2
    return 1 if len(late) >= LEAST and \
        len(late) > MORE_THAN * len(lasting) else 0


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

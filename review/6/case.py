"""A request that the entry has given up on reaches its server after the cut of
a link, in a zone that was evacuated long before.

Links are proxies. A cut link holds what the entry has sent. As in TCP, the
bytes go out again when the sender's next retransmission is due: 0.2, 0.6, 1.4,
3.0, 6.2 s after the first one. If the entry resets its connection meanwhile,
they are lost."""

import asyncio
import contextlib
import pathlib
import random
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
from harness import (BOUNDS, TROUBLE, Consumer, Test, config,  # noqa: E402
                     now)

ZONE = "rennes"
CUT_S = 3.1              # of the links; node_cut lasts up to 12 s
EVACUATE_S = 5.0         # evacuate_ms
HEALED_S = BOUNDS["stable_window_ms"] / 1000
RETRANSMISSIONS_S = [0.2, 0.6, 1.4, 3.0, 6.2, 12.6]
WORK_S = 0.09
RATE = 150               # requests a second


class Link:
    """Path from the entries to one server."""

    def __init__(self, server, port):
        self.server, self.port = server, port
        self.cut = False
        self.cut_began = self.healed = 0.0
        self.on_request = None

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.server.host, self.port, backlog=512)

    async def passable(self, first_sent):
        """Returns once bytes that were sent at a time arrive."""
        if not self.cut:
            return
        for after in RETRANSMISSIONS_S:
            await asyncio.sleep(max(0.0, first_sent + after - now()))
            if not self.cut:
                return

    async def pump(self, reader, writer, is_request):
        with contextlib.suppress(ConnectionError):
            while True:
                data = await reader.read(65536)
                if is_request and data.startswith(b"POST ") and \
                        self.on_request:
                    self.on_request()
                sent = now()
                if self.cut:
                    # The kernel holds what follows, with the end or the reset.
                    await self.passable(sent)
                    if is_request and reader.exception():
                        break
                    more = await self.peek(reader)
                    if more is None:
                        break
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(Exception):
            writer.close()

    @staticmethod
    async def peek(reader):
        """None if the sender has reset the connection."""
        await asyncio.sleep(0.01)
        return None if reader.exception() else b""

    async def serve(self, reader, writer):
        await self.passable(now())
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.server.host, self.server.port)
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self.pump(reader, to_writer, True),
                                 self.pump(to_reader, writer, False))


async def play(test):
    common = {"host": "labels.example", "service": "labels",
              "target_latency_ms": 250, "priority": 1, "max_attempts": 2}
    routes = [{"name": "lookup", "prefix": "/label/", "kind": "safe",
               "timeout_ms": 1000, **common},
              {"name": "order", "prefix": "/order/", "kind": "unsafe",
               "timeout_ms": 1200, **common}]
    test.store.put("op/config", config(
        7, routes, [{"name": "labels", "health_path": "/health",
                     "max_conns": 220}]))
    links = []
    for index in range(9):
        server = await test.add_server(
            f"i-{index}", "labels", test.zones[index % 3],
            work=lambda: random.uniform(0.7, 1.3) * WORK_S)
        if server.zone == ZONE:
            link = Link(server, 9100)
            await link.start()
            links.append(link)
            server.registered = f"{server.host}:9100"
            server.write()
    names = await test.start_entries(6)
    results, tasks, idle = [], set(), {name: [] for name in names}
    ended = False

    async def request(entry):
        pool = idle[entry]
        consumer = pool.pop() if pool else Consumer(test, entry,
                                                    "labels.example")
        if random.random() < 0.5:
            result = await consumer.send("/label/1")
        else:
            result = await consumer.send("/order/1", "POST", b"roll=3",
                                         deadline=2500)
        results.append(result)
        pool.append(consumer)

    async def traffic():
        while not ended:
            task = asyncio.create_task(request(random.choice(names)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(RATE))

    load = asyncio.create_task(traffic())
    await asyncio.sleep(6.0)

    def begin():
        if links[0].cut:
            return
        for link in links:
            link.cut, link.cut_began = True, now()
        test.record.add("cut", ZONE)

    if TROUBLE:
        for link in links:
            link.on_request = begin
        while not links[0].cut:
            await asyncio.sleep(0.005)
        for link in links:
            link.on_request = None
        began = links[0].cut_began
    else:
        began = now()
    await asyncio.sleep(max(0.0, began + 0.2 - now()))
    test.store.put(f"op/evacuate/{ZONE}", {})
    acknowledged = now()
    test.record.add("evacuated", ZONE)
    await asyncio.sleep(began + CUT_S - now())
    healed = now()
    for link in links:
        link.cut = False
    if TROUBLE:
        test.record.add("healed", ZONE)
    await asyncio.sleep(began + 9.0 - now())
    ended = True
    await load
    await asyncio.gather(*tasks)
    answered = {r.id: r for r in results}
    broken = 0
    for server in test.servers:
        if server.zone != ZONE:
            continue
        for at, name in server.arrivals:
            late = at - acknowledged
            if late <= EVACUATE_S or (TROUBLE and at - healed < HEALED_S):
                continue
            broken += 1
            result = answered.get(name)
            ran = [r[2] for r in server.runs if r[1] == name]
            print(f"EVAC: request {name} reached {server.id} {late:.2f} s "
                  f"after the evacuation was acknowledged, "
                  f"{at - result.ended:.2f} s after its consumer had got "
                  f"{result.status}; it ran: {' '.join(ran) or 'no'}")
    served = sum(1 for r in results if r.status == 200)
    print(f"{len(results)} requests, {served} served, {broken} late")
    if served < len(results) / 2:
        return 2
    return 1 if broken else 0


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

"""CONFIG: answers whose bodies have no end outlast the route's timeout."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
import deployment as d  # noqa: E402

TIMEOUT_MS = 1000   # stock-check of sites/retecilia-gw.toml
DEADLINE_S = 2.0
TARGET_MS = 250
SERVICE = "inventario"
# "garble" of the site file: 0.35 of the servers spoil 0.02 of their answers.
SHARE, PART = 0.35, 0.02


def work():
    return random.uniform(0.05, 0.13)


class Spoiling(d.Server):
    """Some answers have a body without an end, until the caller closes."""

    spoils = False
    spoilt = None

    async def reply(self, name, writer):
        if not self.spoils or random.random() >= PART:
            await super().reply(name, writer)
            return
        self.spoilt.append(name)
        self.record.add("spoilt", server=self.id, id=name)
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
                      f"Server-Load: {self.load()}\r\n"
                      f"Response-Stamp: stamp.{name}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        piece = b"400\r\n" + b"x" * 1024 + b"\r\n"

        async def spew():
            try:
                while not writer.is_closing():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.02)
            except ConnectionError:
                pass
            self.record.add("closed_by_caller", server=self.id, id=name)

        self.spews.append(asyncio.ensure_future(spew()))
        await self.spews[-1]


async def main():
    random.seed()
    spoilt, spews = [], []
    async with d.Deployment(HERE) as run:
        for index in range(17):
            server = Spoiling(run.record, SERVICE, index,
                              d.ZONES[index % 3], work=work)
            server.spoilt, server.spews = spoilt, spews
            server.spoils = d.trouble() and index < round(17 * SHARE)
            await run.add_server(server)
        run.store.put("op/config", d.configuration(
            5, [("stock-check", "/lepu270/", "safe", TIMEOUT_MS, TARGET_MS,
                 SERVICE)], [SERVICE]))
        await run.start_entries()
        tasks = []

        async def send(entry):
            return await d.ask(run.record, entry.front, "GET", "/lepu270/2f",
                               DEADLINE_S)

        await d.load(run, 150, 25, send, tasks)
        answers = await asyncio.gather(*tasks)
        limit = TIMEOUT_MS / 1000
        # Requests that last longer than timeout_ms, and those of them that
        # have no final answer 0.5 s after it.
        longer = [a for a in answers if a.ended - a.sent > limit]
        open_still = [a for a in longer if a.ended - a.sent > limit + 0.5]
        ended_by_entry = [a for a in longer if not a.gave_up]
        broken = len(open_still) >= 8 and len(open_still) > len(longer) / 4
        run.record.add("result", requests=len(answers), spoilt=len(spoilt),
                       longer=len(longer), unanswered=len(open_still))
        print(f"{len(answers)} requests, {len(spoilt)} answers without an "
              f"end; longer than timeout_ms: {len(longer)}; without a final "
              f"answer 0.5 s after it: {len(open_still)}; ended by the "
              f"system: {len(ended_by_entry)}")
        return broken


d.run_case(main)

#!/usr/bin/env python3
"""Memory of one entry, and what other callers wait, beside endless answers.

Builds on the stand-ins of review/standin. Needs the program that the deploy
file's command builds. Prints one line.
"""

import argparse
import asyncio
import pathlib
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review" / "standin"))
import deployment as d  # noqa: E402

KINDS = {  # fields that frame the body, and what is repeated
    "length": ("Content-Length: 1000000000000", b"x" * 65536),
    "chunked": ("Transfer-Encoding: chunked",
                b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "extensions": ("Transfer-Encoding: chunked",
                   (b"1;e=" + b"y" * 4000 + b"\r\nx\r\n") * 16),
}
ENDLESS_PATH, SMALL_PATH = "/lepu270/endless", "/lepu270/2f"


class EndlessServer(d.Server):
    """Answers one path without an end, all others as usual."""

    kind = "chunked"

    async def handle(self, request, reader, writer):
        self.endless = getattr(self, "endless", set())
        if request[1] == ENDLESS_PATH:
            self.endless.add(request[2].get("request-id", ""))
        await super().handle(request, reader, writer)

    async def reply(self, name, writer):
        if name not in self.endless:
            await super().reply(name, writer)
            return
        framing, piece = KINDS[self.kind]
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
                      f"Server-Load: {self.load()}\r\n"
                      f"Response-Stamp: s.{name}\r\n{framing}\r\n\r\n").encode())
        try:
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass


def resident_mb(pid):
    for line in open(f"/proc/{pid}/status", encoding="ascii"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def take_endless(entry, name, reads, seconds):
    reader, writer = await asyncio.open_connection(*entry.front, limit=4096)
    writer.write((f"GET {ENDLESS_PATH} HTTP/1.1\r\nHost: {d.HOST}\r\n"
                  f"Request-Id: {name}\r\nDeadline-Ms: 8000\r\n\r\n").encode())
    if not reads:
        writer.transport.pause_reading()
    end = time.monotonic() + seconds
    try:
        while time.monotonic() < end:
            if not reads:
                await asyncio.sleep(0.1)
            elif not await asyncio.wait_for(reader.read(65536), seconds):
                break
    except (ConnectionError, asyncio.TimeoutError):
        pass
    finally:
        writer.transport.abort()


async def measure(args, folder):
    async with d.Deployment(folder, entries=1) as run:
        EndlessServer.kind = args.kind
        for index in range(3):
            await run.add_server(EndlessServer(
                run.record, "stock", index, d.ZONES[index % 3],
                work=lambda: 0.0, slots=1000))
        run.store.put("op/config", d.configuration(
            5, [("stock", "/lepu270/", "safe", 6000, 250, "stock")],
            ["stock"]))
        await run.start_entries()
        entry = run.entries[0]
        before = peak = resident_mb(entry.process.pid)
        tasks = [asyncio.ensure_future(
            take_endless(entry, f"e{i:015x}", args.read, args.seconds + 1))
            for i in range(args.callers)]
        took, others = [], 0
        end = time.monotonic() + args.seconds
        while time.monotonic() < end:
            answer = await d.ask(run.record, entry.front, "GET", SMALL_PATH,
                                 3.0)
            others += 1
            if answer.status == 200:
                took.append(answer.ended - answer.sent)
            peak = max(peak, resident_mb(entry.process.pid))
            await asyncio.sleep(0.02)
        p50 = f"{statistics.median(took) * 1000:.1f} ms" if took else "none"
        print(f"{args.kind}, {args.callers} callers, "
              f"{'read' if args.read else 'not read'}: {before:.0f} to "
              f"{peak:.0f} MB; others: p50 {p50}, {len(took)} of {others} "
              f"answered")
        for task in tasks:
            task.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=sorted(KINDS), default="chunked")
    parser.add_argument("--callers", type=int, default=400)
    parser.add_argument("--read", action="store_true")
    parser.add_argument("--seconds", type=float, default=4)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(asyncio.wait_for(measure(args, folder), 60))


if __name__ == "__main__":
    main()

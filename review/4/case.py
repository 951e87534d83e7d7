"""DRAIN: a server's entry goes away just after waiting watches were cut."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
import deployment as d  # noqa: E402

TIMEOUT_MS = 1200   # hire-booking of sites/retecilia-gw.toml
DEADLINE_S = 2.5
TARGET_MS = 300
SERVICE = "prenota"
DRAIN_S = d.BOUNDS["drain_ms"] / 1000
# "... continues serving for drain_ms ... and a little longer ..., and then
# exits."
LITTLE_LONGER_S = 0.3


def work():
    return random.uniform(0.06, 0.18)


async def main():
    random.seed()
    async with d.Deployment(HERE) as run:
        for index in range(7):
            await run.add_server(d.Server(run.record, SERVICE, index,
                                          d.ZONES[index % 3], work=work))
        run.store.put("op/config", d.configuration(
            5, [("hire-booking", "/xapu221/", "unsafe", TIMEOUT_MS, TARGET_MS,
                 SERVICE)], [SERVICE]))
        await run.start_entries()
        tasks = []
        leaving = run.servers[0]

        async def send(entry):
            return await d.ask(run.record, entry.front, "POST", "/xapu221/2f",
                               DEADLINE_S, b"x" * 300)

        async def leave():
            await asyncio.sleep(4)
            # Each machine's waiting watch is cut once. A machine pauses 0.25 s
            # between two watches, so one moment would not reach all.
            for pause in (0.3, 0.05):
                if d.trouble():
                    cut = run.store.cut_watches()
                    run.record.add("watches_cut", count=cut)
                await asyncio.sleep(pause)
            run.store.delete(f"servers/{leaving.id}")
            gone = run.record.now()
            run.record.add("entry_removed", server=leaving.id)
            await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
            leaving.exit()
            run.record.add("exited", server=leaving.id)
            return gone

        plan = asyncio.ensure_future(leave())
        await d.load(run, 150, 9, send, tasks)
        gone = await plan
        answers = {a.name: a for a in await asyncio.gather(*tasks)}
        # DRAIN: a request reaches the server later than drain_ms after the
        # store confirmed that it is gone.
        late = [(at, name) for at, name in leaving.arrived
                if at > gone + DRAIN_S]
        lost = [name for name in leaving.cut
                if not (answers[name].complete and
                        200 <= answers[name].status < 300)]
        last = max((at for at, _ in leaving.arrived), default=gone) - gone
        run.record.add("result", late=len(late), lost=len(lost),
                       last_arrival_after=f"{last:.3f}")
        print(f"requests that reached the server later than {DRAIN_S} s after "
              f"its entry was removed: {len(late)} (it exits after "
              f"{DRAIN_S + LITTLE_LONGER_S} s); last arrival after {last:.3f} "
              f"s; bookings that it ran and that were lost: {len(lost)}")
        return len(late) > 0


d.run_case(main)

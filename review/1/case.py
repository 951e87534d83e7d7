"""LOST: SIGTERM shortly after a version that retires a service."""

import asyncio
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
import deployment as d  # noqa: E402

TIMEOUT_MS = 1200   # hire-booking of sites/retecilia-gw.toml
DEADLINE_S = 2.5
TARGET_MS = 1000
OLD, NEW = "prenota", "prenota2"


def version(number, service, services):
    return d.configuration(number, [
        ("hire-booking", "/xapu221/", "unsafe", TIMEOUT_MS, TARGET_MS,
         service)], services)


def work():
    # Mean 120 ms, at most 880 ms in the site file; here the longer part.
    return random.uniform(0.12, 0.88)


async def main():
    random.seed()
    async with d.Deployment(HERE) as run:
        for index in range(6):
            for service in (OLD, NEW):
                await run.add_server(d.Server(run.record, service, index,
                                              d.ZONES[index % 3], work=work))
        run.store.put("op/config", version(5, OLD, [OLD, NEW]))
        await run.start_entries()
        tasks = []
        stopped = run.entries[0]

        async def send(entry):
            answer = await d.ask(run.record, entry.front, "POST",
                                 "/xapu221/2f", DEADLINE_S, b"x" * 300)
            answer.entry = entry
            return answer

        async def planned_work():
            await asyncio.sleep(4)
            if d.trouble():
                run.store.put("op/config", version(7, NEW, [NEW]))
                run.record.add("configuration", version=7,
                               services=NEW)
            await asyncio.sleep(0.2)
            # The consumers take the other machines from now on.
            stopped.avoid = True
            stopped.signal(signal.SIGTERM)
            run.record.add("sigterm", machine=stopped.name)
            return run.record.now()

        plan = asyncio.ensure_future(planned_work())
        await d.load(run, 60, 9, send, tasks)
        term = await plan
        answers = await asyncio.gather(*tasks)
        await asyncio.sleep(1)
        status = stopped.process.poll()
        ran = {name for server in run.servers for name in server.runs}
        mine = [a for a in answers if a.entry is stopped]
        # LOST: read whole, passed on to a server, sent before the end of the
        # planned work, connection ended without a complete answer.
        lost = [a for a in mine if not a.complete and not a.gave_up
                and a.name in ran and term - 3 <= a.sent <= term + 7]
        others = [a for a in answers if a.entry is not stopped
                  and not a.complete]
        run.record.add("result", exit_status=status, lost=len(lost),
                       others_lost=len(others))
        print(f"exit status of {stopped.name} after SIGTERM: {status}; "
              f"bookings passed on and cut without an answer: {len(lost)}; "
              f"at the other machines: {len(others)}")
        if status is None:
            raise RuntimeError("the machine did not end")
        return len(lost) > 0 or status != 0


d.run_case(main)

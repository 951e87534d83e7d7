"""Scenes that meet with others: lowered limits, load, and a stop in the midst
of changes."""

import dataclasses
import subprocess
import sys
import threading
import time

BETWEEN_STOPS = 0.2  # seconds, of entries that stop beside a retirement
BUSY = """
import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""


class BesideScenes:
    """A part of the player."""

    def limits(self, scene):
        """Limits below what some callers upload meanwhile."""
        self.configure("lower")
        time.sleep(0.5 + 4 * scene.amount)
        self.configure("raise")

    def busy(self, scene):
        """Load beside the entries; it disturbs nobody by the rules."""
        seconds = 1.0 + 3 * scene.amount
        count = 1 + int(2 * (scene.amount * 7 % 1.0))
        self.fleet.note("busy", "", count=count, seconds=seconds)
        processes = [subprocess.Popen(
            [sys.executable, "-c", BUSY, str(seconds)])
            for _ in range(count)]
        for process in processes:
            process.wait()

    def stop_beside_retirement(self, scene):
        """Entries stop one after the other once a configuration has left a
        service out; it comes back when all have ended and started again."""
        with self.retiring:
            self.configure("retire")
            threads = []
            for entry in scene.entries:
                part = dataclasses.replace(scene, name="stop_one",
                                           entries=[entry])
                threads.append(threading.Thread(target=self.run,
                                                args=(part,)))
                threads[-1].start()
                time.sleep(BETWEEN_STOPS)
            for thread in threads:
                thread.join()
            self.configure("bring_back")

    def stop_beside_changes(self, scene):
        """A server leaves, its route moves and an entry stops, in any
        order."""
        threads = []
        for share, name in ((1, "leave"), (7, "move_route"),
                            (13, "stop_one")):
            part = dataclasses.replace(scene, name=name)
            threads.append(threading.Thread(
                target=self.run_after,
                args=(1.5 * (scene.amount * share % 1.0), part)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def run_after(self, seconds, scene):
        time.sleep(seconds)
        self.run(scene)

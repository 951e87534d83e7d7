"""Plays the scenes of a schedule on a fleet."""

import signal
import threading
import time

from .fleet import call, wait_for
from .player_beside import BesideScenes
from .player_servers import ServerScenes
from .requests import HOST

STORE_FAULTS = {"store_refuses": "refusing", "store_slow": "delay_ms=700",
                "store_silent": "silent"}
PROBE_S = 1.0  # a probe of the calm phase must be answered within it
HEARTBEAT = 1.2  # servers write their records again within it, in seconds
CHANGES = {"add_route": "add", "move_route": "move",
           "change_timeout": "timeout"}


class Player(ServerScenes, BesideScenes):
    """Each scene runs on a thread of its own."""

    def __init__(self, fleet, bounds):
        self.fleet = fleet
        self.bounds = bounds
        self.threads = []
        self.changing = threading.Lock()
        self.retiring = threading.Lock()
        self.failures = []  # of the soak itself

    def play(self, scenes):
        began = time.monotonic()
        for scene in sorted(scenes, key=lambda scene: scene.at):
            time.sleep(max(0.0, began + scene.at - time.monotonic()))
            self.fleet.note("scene", scene.name,
                            on=scene.entries or scene.places)
            thread = threading.Thread(target=self.run, args=(scene,))
            thread.start()
            self.threads.append(thread)

    def finish(self):
        for thread in self.threads:
            thread.join()

    def run(self, scene):
        if scene.name in STORE_FAULTS:
            self.guard(scene.name, self.store_fault, scene)
        elif scene.name in CHANGES:
            self.guard(scene.name, self.configure, CHANGES[scene.name])
        else:
            self.guard(scene.name, getattr(self, scene.name), scene)

    def guard(self, name, act, *args):
        """An error on any thread is a failure of the soak."""
        try:
            act(*args)
        except Exception as error:  # noqa: BLE001 - reported as a failure
            self.failures.append(f"{name}: {error!r}")

    def thread(self, name, act, *args):
        out = threading.Thread(target=self.guard, args=(name, act, *args))
        out.start()
        return out

    # Entries.

    def stop(self, entry, during=()):
        """SIGTERM, SIGKILL after the grace, and a new start.

        during: pairs of seconds after SIGTERM and what is done then."""
        process = self.fleet.processes[entry]
        self.fleet.signal(entry, signal.SIGTERM)
        began = time.monotonic()
        for after, act in during:
            time.sleep(max(0.0, began + after - time.monotonic()))
            act()
        while process.poll() is None and \
                time.monotonic() < began + self.bounds.grace:
            time.sleep(0.005)
        if process.poll() is None:
            self.fleet.signal(entry, signal.SIGKILL)
        process.wait()
        self.fleet.note_exit(entry)

    def stop_all(self, scene, during=()):
        with self.fleet.held(scene.entries):
            threads = [self.thread(scene.name, self.stop, entry, during)
                       for entry in scene.entries]
            for thread in threads:
                thread.join()
            time.sleep(0.05 + 0.5 * scene.amount)
            for entry in scene.entries:
                self.fleet.start_entry(entry)

    stop_one = stop_all
    stop_two = stop_all
    stop_zone = stop_all

    def stop_in_turn(self, scene):
        """Entries one after the other, each started once it has ended."""
        def one(entry):
            with self.fleet.held([entry]):
                self.stop(entry)
                self.fleet.start_entry(entry)
        threads = []
        for entry in scene.entries:
            threads.append(self.thread(scene.name, one, entry))
            time.sleep(1.0)
        for thread in threads:
            thread.join()

    def stop_again(self, scene):
        self.stop_all(scene)
        time.sleep(scene.amount * 2)
        self.stop_all(scene)

    def stop_in_start(self, scene):
        self.stop_all(scene)
        time.sleep(0.02 + 0.3 * scene.amount)
        self.stop_all(scene)

    def hup_in_start(self, scene):
        entry = scene.entries[0]
        self.stop_all(scene)
        # A signal ends any process that has not reached its handlers yet.
        wait_for(lambda: self.fleet.handles(entry, signal.SIGHUP), 5.0,
                 f"{entry} handles SIGHUP")
        time.sleep(0.3 * scene.amount ** 2)
        self.fleet.signal(entry, signal.SIGHUP)

    def stop_twice_signalled(self, scene):
        entry = scene.entries[0]
        self.stop_all(scene, [(4 * scene.amount, lambda: self.fleet.signal(
            entry, signal.SIGTERM))])

    def stop_and_hup(self, scene):
        self.stop_all(scene, [(scene.amount, lambda: self.reload(
            scene.entries[0], scene.amount))])

    def stop_and_config(self, scene):
        self.stop_all(scene, [(scene.amount, lambda: self.configure("move"))])

    def stop_frozen(self, scene):
        entry = scene.entries[0]

        def freeze():
            self.fleet.signal(entry, signal.SIGSTOP)
            time.sleep(0.5 + 2 * scene.amount)
            self.fleet.signal(entry, signal.SIGCONT)
        self.stop_all(scene, [(scene.amount, freeze)])

    def reload(self, entry, amount):
        self.fleet.settings["entries_ttl_ms"] = 1000 + int(2000 * amount)
        self.fleet.write_settings(entry)
        wait_for(lambda: not self.fleet.running(entry) or
                 self.fleet.handles(entry, signal.SIGHUP), 5.0,
                 f"{entry} handles SIGHUP")
        self.fleet.signal(entry, signal.SIGHUP)

    def hup(self, scene):
        self.reload(scene.entries[0], scene.amount)

    def kill(self, scene):
        entry = scene.entries[0]
        with self.fleet.held([entry]):
            process = self.fleet.processes[entry]
            self.fleet.signal(entry, signal.SIGKILL)
            process.wait()
            self.fleet.note_exit(entry)
            time.sleep(0.3)
            self.fleet.start_entry(entry)

    def freeze(self, scene):
        entry = scene.entries[0]
        self.fleet.signal(entry, signal.SIGSTOP)
        time.sleep(0.3 + 3 * scene.amount)
        self.fleet.signal(entry, signal.SIGCONT)

    # The store and the operator.

    def store_fault(self, scene):
        self.fleet.note("store-fault", scene.name)
        self.fleet.set_faults(STORE_FAULTS[scene.name])
        time.sleep(1.0 + 3 * scene.amount)
        self.fleet.set_faults("none")
        self.fleet.note("store-good", "store")

    def restore(self, scene):
        """The store is away and returns from a copy. It is good once all is
        written again."""
        age = 6.0 + 3.0 * scene.amount
        rewrite = 0.2 + 1.8 * (scene.amount * 13 % 1.0)
        self.fleet.note("store-fault", scene.name, age=age)
        self.fleet.set_faults("silent")
        time.sleep(0.5 + 1.5 * (scene.amount * 7 % 1.0))
        if not self.fleet.restore(age, rewrite):
            raise RuntimeError(f"no copy of {age:.1f} s ago")
        self.fleet.set_faults("none")
        self.fleet.note("store-restored", "store")
        time.sleep(rewrite + HEARTBEAT)
        self.fleet.note("store-good", "store")

    def configure(self, change):
        with self.changing:
            configuration = self.fleet.configuration
            configuration.change(change)
            fields = {"change": change, **configuration.fields()}
            self.fleet.note("config", "", phase="sent", **fields)
            self.fleet.put("op/config", configuration.text())
            self.fleet.note("config", "", phase="done", **fields)
            added = configuration.added()
        if change == "add":
            time.sleep(self.bounds.config_apply)
            self.fleet.publish_added(added)

    def change_often(self, scene):
        """A series of which only the last change is written again."""
        for _ in range(6 + int(6 * scene.amount)):
            self.configure("timeout")
            time.sleep(0.08)

    def evacuate(self, scene):
        zone = self.fleet.zones[scene.places[0]]
        self.fleet.put(f"op/evacuate/{zone}", "{}")
        self.fleet.note("evacuated", zone)
        time.sleep(2.0 + 8 * scene.amount)
        self.fleet.note("taking-back", zone)
        self.fleet.erase(f"op/evacuate/{zone}")

    # The end of a run.

    def calm(self):
        """Waits until every entry serves again, within the recovery's
        bound; returns those that don't."""
        self.finish()
        self.fleet.note("calm", "")
        waiting = set(self.fleet.entries)
        count = 0
        end = time.monotonic() + self.bounds.recovery
        while waiting and time.monotonic() < end:
            for entry in sorted(waiting):
                count += 1
                if self.probe(entry, count):
                    waiting.discard(entry)
            time.sleep(0.1)
        self.fleet.note("progress", "", missing=sorted(waiting))
        return waiting

    def probe(self, entry, count):
        """Whether the entry serves a request within PROBE_S."""
        name = f"calm-{count}"
        # Under overload, a shorter deadline than that of the route's callers
        # says that the request has been tried before.
        shape = self.fleet.shape
        deadline = shape.first_deadline if shape else PROBE_S
        prefix = self.fleet.configuration.routes[0]["prefix"]
        began = time.monotonic()
        status, _ = call("GET", self.fleet.callers_of(entry),
                         f"{prefix}{name}?size=10", timeout=PROBE_S,
                         headers={"Host": HOST, "Request-Id": name,
                                  "Deadline-Ms": str(int(deadline * 1000))})
        return status == 200 and time.monotonic() - began < PROBE_S

"""Scenes of servers."""

import signal
import time


class ServerScenes:
    """A part of the player."""

    def retire(self, place, amount):
        """Ends a server that has left and starts its successor."""
        time.sleep(self.bounds.drain + 1.5 + 2 * amount)
        self.fleet.admin(place, "withdraw")
        with self.fleet.held([place]):
            self.fleet.end_server(place)
            self.fleet.start_server(place)

    def leave(self, scene):
        place = scene.places[0]
        self.fleet.note("server-leaves", self.fleet.instances[place])
        self.fleet.admin(place, "leave")
        self.fleet.admin(place, "drain")
        self.retire(place, scene.amount)

    def leave_silently(self, scene):
        """The store hears nothing of it; only answers say it."""
        place = scene.places[0]
        self.fleet.note("server-leaves", self.fleet.instances[place])
        self.fleet.admin(place, "leave")
        self.retire(place, scene.amount)

    def drain(self, scene):
        place = scene.places[0]
        self.fleet.note("server-drains", self.fleet.instances[place])
        self.fleet.admin(place, "drain")
        self.retire(place, scene.amount)

    def withdraw(self, scene):
        place = scene.places[0]
        self.fleet.note("server-withdrawn", self.fleet.instances[place])
        self.fleet.admin(place, "withdraw")
        self.retire(place, scene.amount)

    def server_kill(self, scene):
        place = scene.places[0]
        with self.fleet.held([place]):
            instance = self.fleet.instances[place]
            self.fleet.end_server(place)
            time.sleep(3.0)
            self.fleet.erase(f"servers/{instance}")
            self.fleet.start_server(place)

    def replace(self, scene):
        """Another instance under the same address at once."""
        place = scene.places[0]
        with self.fleet.held([place]):
            instance = self.fleet.instances[place]
            self.fleet.end_server(place)
            self.fleet.start_server(place)
        time.sleep(1.0 + 2 * scene.amount)
        self.fleet.erase(f"servers/{instance}")

    def rest(self, scene):
        place = scene.places[0]
        ms = int(2000 + 4000 * scene.amount)
        self.fleet.note("server-rests", self.fleet.instances[place], ms=ms)
        self.fleet.admin(place, f"rest?ms={ms}")
        time.sleep(ms / 1000)

    def break_answers(self, scene):
        place = scene.places[0]
        self.fleet.note("server-breaks", self.fleet.instances[place])
        self.fleet.admin(place, f"break?count={1 + int(20 * scene.amount)}")

    def endless(self, scene):
        """A part of the answers of one or two servers has no end."""
        seconds = 1.5 + 4.5 * scene.amount
        percent = 20 + int(60 * (scene.amount * 7 % 1.0))
        checks = int(scene.amount * 13 % 1.0 < 0.5)
        for place in scene.places:
            self.fleet.note("server-endless", self.fleet.instances[place],
                            percent=percent, checks=checks)
            self.fleet.admin(
                place, f"endless?percent={percent}&checks={checks}")
        time.sleep(seconds)
        for place in scene.places:
            self.fleet.admin(place, "endless?percent=0")

    def server_freeze(self, scene):
        instance = self.fleet.instances[scene.places[0]]
        self.fleet.signal(instance, signal.SIGSTOP)
        time.sleep(0.5 + 2 * scene.amount)
        self.fleet.signal(instance, signal.SIGCONT)

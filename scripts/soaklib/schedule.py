"""Seeded schedule of disturbances and planned work."""

import dataclasses
import random

from .configuration import SERVICES, UNMOVED
from .fleet import ZONES

# Scenes with their weights; each has a method in player.Player.
ENTRY_SCENES = {
    "stop_one": 10, "stop_two": 5, "stop_zone": 4, "stop_again": 4,
    "stop_in_start": 3, "hup_in_start": 2, "stop_twice_signalled": 3,
    "stop_and_hup": 4, "stop_and_config": 4, "stop_frozen": 2, "hup": 4,
    "kill": 3, "freeze": 3}
SERVER_SCENES = {
    "leave": 6, "leave_silently": 4, "drain": 4, "withdraw": 2,
    "server_kill": 3, "replace": 3, "rest": 6, "server_freeze": 1,
    "break_answers": 3}
OTHER_SCENES = {
    "store_refuses": 2, "store_slow": 2, "store_silent": 2, "add_route": 2,
    "move_route": 2, "change_timeout": 2, "evacuate": 2}
# Drawn apart, so that they leave the other scenes of a seed as they are.
BESIDE_SCENES = ["limits", "busy", "stop_beside_changes"]
BESIDE_SPAN = 12.0   # seconds of the schedule that have one of each
BESIDE_TRIES = 8     # draws of a time at which an entry and a server are free
STOP_SPAN = 10.0     # of the last of them

STOPS = [name for name in ENTRY_SCENES if name.startswith("stop")]
TWICE = ("stop_again", "stop_in_start", "hup_in_start")

# Until an entry can be used by another scene, in seconds.
ENTRY_SPAN = 9.0
TWO_STOPS_SPAN = 17.0
SERVER_SPAN = 9.0
# Restores, in seconds: the first one, from one to the next, and what happens
# beside each.
FIRST_RESTORE = 9.0
RESTORE_SPAN = 16.0
BESIDE_RESTORE = [
    (-7.0, "evacuate"), (-6.5, "add_route"), (-5.0, "drain"),
    (-4.2, "add_route"), (-3.9, "move_route"), (-3.6, "change_often"),
    (0.0, "restore"),
    (5.5, "add_route"), (5.7, "move_route")]


@dataclasses.dataclass
class Scene:
    at: float
    name: str
    entries: list
    places: list
    amount: float  # drawn number in [0, 1), for lengths


class Schedule:
    """Draws scenes so that none disturbs what another one works on."""

    def __init__(self, seed, seconds, entries, servers, pace, restores=0):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.entries = entries
        self.servers = servers
        self.pace = pace
        self.restores = restores
        # Restores are drawn apart: the other scenes of a seed stay the same.
        self.apart = random.Random(f"restores of {seed}")
        self.beside = random.Random(f"beside {seed}")
        self.busy = {}  # entry or place to the time until which it is busy

    def scenes(self):
        out = []
        # A run without a planned stop would say nothing about it.
        out += self.draw_scene(1.0, {"stop_one": 1, "stop_two": 1})
        out += self.draw_scene(1.5, {"leave": 1, "leave_silently": 1})
        out += self.draw_scene(2.0, {"rest": 1})
        at = 2.5
        while at < self.seconds:
            group = self.random.choices(
                [ENTRY_SCENES, SERVER_SCENES, OTHER_SCENES], [4, 3, 2])[0]
            out += self.draw_scene(at, group)
            at += self.random.expovariate(self.pace)
        return self.add_restores(out + self.scenes_beside(out))

    def scenes_beside(self, scenes):
        """Limits that are lowered and raised, busy processes beside a planned
        stop, and a stop of an entry while a server leaves and a configuration
        comes."""
        out = []
        stops = [scene.at for scene in scenes if scene.name in STOPS]
        for begin in range(0, int(self.seconds), int(BESIDE_SPAN)):
            span = min(BESIDE_SPAN, self.seconds - begin)
            limits = begin + span * self.beside.random()
            out.append(Scene(limits, "limits", [], [], self.beside.random()))
            stop = self.beside.choice(stops)
            busy = max(0.5, stop + self.beside.uniform(-1.0, 1.0))
            out.append(Scene(busy, "busy", [], [], self.beside.random()))
            out += self.stop_beside_changes(scenes + out, begin, span)
        return out

    def stop_beside_changes(self, scenes, begin, span):
        for _ in range(BESIDE_TRIES):
            at = begin + 1.0 + span * self.beside.random()
            entries = [entry for entry in self.entries
                       if self.unused(scenes, at, entry)]
            # Servers of services whose route moves.
            places = [place for place in range(self.servers)
                      if SERVICES[place % len(SERVICES)] != UNMOVED and
                      self.unused(scenes, at, place)]
            if len(entries) > len(self.entries) // 3 and \
                    len(places) > self.servers // 3:
                return [Scene(at, "stop_beside_changes",
                              [self.beside.choice(entries)],
                              [self.beside.choice(places)],
                              self.beside.random())]
        return []

    def unused(self, scenes, at, what):
        """Whether no scene uses an entry or a place from a time on, for as
        long as a stop beside changes takes."""
        return all(at + STOP_SPAN <= scene.at or at >= scene.at + span_of(scene)
                   for scene in scenes
                   if what in scene.entries or
                   what in scene.places and scene.name != "evacuate")

    def add_restores(self, scenes):
        """Adds restores, each beside changes before and after it. The store
        has no other disturbance near one."""
        for count in range(self.restores):
            at = FIRST_RESTORE + RESTORE_SPAN * count + self.apart.random()
            scenes = [scene for scene in scenes
                      if not scene.name.startswith("store") or
                      abs(scene.at - at) > RESTORE_SPAN / 2]
            for offset, name in BESIDE_RESTORE:
                amount = self.apart.random()
                places = []
                if name == "evacuate":
                    places, amount = [self.apart.randrange(len(ZONES))], 0.95
                elif name == "drain":
                    places = self.place_for(scenes, at + offset)
                    if not places:
                        continue
                scenes.append(Scene(at + offset, name, [], places, amount))
        return scenes

    def place_for(self, scenes, at):
        """A place that no scene near a time uses."""
        used = {place for scene in scenes
                if scene.name in (*SERVER_SCENES, "stop_beside_changes") and
                abs(scene.at - at) < span_of(scene) for place in scene.places}
        open_to = [p for p in range(self.servers) if p not in used]
        return [self.apart.choice(open_to)] if open_to else []

    def draw_scene(self, at, group):
        name = self.random.choices(list(group), list(group.values()))[0]
        amount = self.random.random()
        entries, places = [], []
        if name in ENTRY_SCENES:
            entries = self.pick_entries(at, name)
        elif name in SERVER_SCENES:
            places = self.pick(at, range(self.servers), 1, SERVER_SPAN)
        elif name == "evacuate":
            places = [self.random.randrange(len(ZONES))]
        elif name.startswith("store") and not self.free(at, "store"):
            return []
        if name.startswith("store"):
            self.busy["store"] = at + 6.0
        if name in ENTRY_SCENES and not entries:
            return []
        if name in SERVER_SCENES and not places:
            return []
        return [Scene(at, name, entries, places, amount)]

    def free(self, at, what):
        return self.busy.get(what, 0.0) <= at

    def pick(self, at, among, count, span):
        """Some that are free; a third of all stays undisturbed, except where
        all of one kind are wanted."""
        among = list(among)
        open_to = [one for one in among if self.free(at, one)]
        if count < len(among):
            count = min(count, len(open_to) - len(among) // 3)
        if count <= 0:
            return []
        out = self.random.sample(open_to, count)
        for one in out:
            self.busy[one] = at + span
        return out

    def pick_entries(self, at, name):
        if name == "stop_zone":
            zone = self.random.randrange(len(ZONES))
            among = self.entries[zone::len(ZONES)]
            if not all(self.free(at, entry) for entry in among):
                return []
            return self.pick(at, among, len(among), ENTRY_SPAN)
        return self.pick(at, self.entries, 2 if name == "stop_two" else 1,
                         TWO_STOPS_SPAN if name in TWICE else ENTRY_SPAN)


def span_of(scene):
    """Seconds for which a scene uses its entries or places."""
    if scene.name in TWICE:
        return TWO_STOPS_SPAN
    if scene.name == "stop_beside_changes":
        return STOP_SPAN
    return ENTRY_SPAN if scene.entries else SERVER_SPAN

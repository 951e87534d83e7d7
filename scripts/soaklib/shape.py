"""Shapes of deployments: zones, servers, routes, kinds of request, stops."""

import dataclasses

from .requests import Form
from .schedule import Scene

OF_ROUTES = {"add_route", "move_route", "stop_and_config",
             "stop_beside_changes"}
FIRST_STOP = 4.0   # seconds of the schedule
STOP_EVERY = 8.0
STOPS_AFTER_RETIREMENT = 6  # entries at a time, a third of them
STAYING = 1000     # life times of a directory's answer
MEAN_TIME = 0.7    # of a request with its repeats, seconds


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request."""

    name: str
    method: str
    route: str         # its kind in the configuration
    service: str
    rate: float        # share of all requests
    deadline: float    # seconds
    timeout_ms: int
    size: int          # mean bytes of the answer
    upload: int = 0    # mean bytes of the request's body
    fresh: bool = False    # each on a connection of its own

    def form(self, random):
        return Form(self.name, self.method, f"/{self.name}/",
                    self.route == "unsafe", deadline=self.deadline,
                    size=int(self.size * random.uniform(0.5, 1.5)),
                    upload=int(self.upload * random.uniform(0.5, 1.5)))


# A route without a time limit of its own has one beyond all deadlines.
KINDS = [
    Kind("view", "GET", "safe", "view", 6.2, 4.0, 2000, 400, fresh=True),
    Kind("book", "POST", "unsafe", "book", 2.3, 5.0, 2500, 1500, 300, True),
    Kind("fetch", "GET", "download", "archive", 0.62, 4.0, 60_000, 90_000),
    Kind("look", "GET", "safe", "archive", 1.2, 2.0, 1000, 1500)]


def draw_kind(random):
    return random.choices(KINDS, [kind.rate for kind in KINDS])[0]


@dataclasses.dataclass(frozen=True)
class Shape:
    """Servers that hang when full, and callers that ask the directory and send
    one request at a time."""

    entries: int
    zones: list
    servers: dict      # of each service, how many
    work_us: dict      # of each service, mean
    callers: int
    per_s: float       # requests
    queue: int = 6     # requests that wait at a server

    @property
    def places(self):
        return sum(self.servers.values())

    @property
    def first_deadline(self):
        """Of callers on the first of routes(), in seconds."""
        return KINDS[0].deadline

    def service_of(self, place):
        for service, count in self.servers.items():
            if place < count:
                return service
            place -= count
        raise ValueError("no such place")

    def work_of(self, service):
        return ["--slots", "3", "--queue", str(self.queue), "--mean-us",
                str(self.work_us[service]), "--spread", "0.3", "--knee", "0.8",
                "--knee-factor", "1.7", "--slow-share", "0.35",
                "--slow-factor", "7", "--hangs", "--idle-ms", "10000"]

    def routes(self):
        return [{"name": kind.name, "prefix": f"/{kind.name}/",
                 "kind": kind.route, "service": kind.service,
                 "timeout_ms": kind.timeout_ms} for kind in KINDS]

    def caller_specs(self, seed, load=1.0, stay=False, half_closed=0):
        """Callers of a run; half_closed: more of them for each entry, which
        shut their sending side behind a GET."""
        pause = max(0.05, self.callers / self.per_s / load - MEAN_TIME)
        more = half_closed * self.entries
        return [{"name": f"s{seed}-c{index}",
                 "kind": "site" if index < self.callers else
                 "site_half_closed",
                 "zone": self.zones[index % len(self.zones)],
                 "seed": seed * 100_000 + index,
                 "think": pause,
                 "keep": STAYING if stay else 3 if index % 5 == 0 else 1}
                for index in range(self.callers + more)]

    @staticmethod
    def possible(scenes):
        """Those of a schedule that need no routes of the default soak."""
        return [scene for scene in scenes if scene.name not in OF_ROUTES]

    def scenes(self, entries, seconds, retire=False):
        """Two entries at a time, stopped a second apart; or more of them
        beside a configuration that retires a service."""
        count = STOPS_AFTER_RETIREMENT if retire else 2
        name = "stop_beside_retirement" if retire else "stop_in_turn"
        out = []
        at = FIRST_STOP
        while at < seconds:
            first = count * len(out) % len(entries)
            out.append(Scene(at, name, entries[first:first + count], [], 0.0))
            at += STOP_EVERY
        return out


HANGING = Shape(
    18, ["north", "east", "west", "south"],
    {"view": 20, "book": 10, "archive": 8},
    {"view": 220_000, "book": 290_000, "archive": 120_000}, 192, 84.0)
# Without a queue, what entries send at the same time hangs.
SHAPES = {"hanging": HANGING,
          "hanging-tight": dataclasses.replace(HANGING, queue=0)}

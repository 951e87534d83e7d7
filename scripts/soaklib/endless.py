"""Scenes in which servers answer without an end."""

import random

from .schedule import Scene

# Of those that begin just before a planned stop, the time before it.
JUST_BEFORE = (0.01, 0.2)
AROUND = (-3.0, 1.0)  # of the others, from a planned stop on


def endless_scenes(seed, count, scenes, places, service_of):
    """Drawn apart, so that the other scenes of a seed are what they were. Each
    begins near a planned stop, a third of them just before its SIGTERM."""
    source = random.Random(f"endless {seed}")
    stops = [scene.at for scene in scenes if scene.name.startswith("stop")]
    out = []
    for _ in range(count):
        stop = source.choice(stops)
        at = stop - source.uniform(*JUST_BEFORE) if source.random() < 1 / 3 \
            else max(0.5, stop + source.uniform(*AROUND))
        first = source.choice(places)
        same = [place for place in places if place != first and
                service_of(place) == service_of(first)]
        # One server of a service at least is sound.
        more = source.sample(same, 1) \
            if len(same) > 1 and source.random() < 0.5 else []
        out.append(Scene(at, "endless", [], [first, *more], source.random()))
    return out

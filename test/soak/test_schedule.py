"""The schedule: the same for each seed, and no scene disturbs another."""

import unittest

import made_up  # noqa: F401 - finds the soak's modules
from soaklib.schedule import (ENTRY_SCENES, ENTRY_SPAN, SERVER_SCENES,
                              SERVER_SPAN, Schedule)

ENTRIES = [f"entry-{i}" for i in range(6)]
SEEDS = range(1, 51)


def scenes(seed):
    return Schedule(seed, 30.0, ENTRIES, 12, 0.6).scenes()


def uses(seed, names):
    """Times at which each entry or place is used by some scenes."""
    out = {}
    for scene in scenes(seed):
        if scene.name in names:
            for one in scene.entries or scene.places:
                out.setdefault(one, []).append(scene.at)
    return out


class ScheduleTest(unittest.TestCase):
    def test_a_seed_decides_all(self):
        for seed in SEEDS:
            self.assertEqual(scenes(seed), scenes(seed))
        self.assertNotEqual(scenes(1), scenes(2))

    def test_each_run_stops_an_entry_and_lets_servers_leave_and_rest(self):
        for seed in SEEDS:
            first = [scene.name for scene in scenes(seed)[:3]]
            self.assertTrue(first[0].startswith("stop"))
            self.assertTrue(first[1].startswith("leave"))
            self.assertEqual(first[2], "rest")

    def test_scenes_keep_apart(self):
        for names, span in ((ENTRY_SCENES, ENTRY_SPAN),
                            (SERVER_SCENES, SERVER_SPAN)):
            for seed in SEEDS:
                for times in uses(seed, names).values():
                    gaps = [b - a for a, b in zip(times, times[1:])]
                    self.assertTrue(all(gap >= span for gap in gaps), seed)

    def test_all_scenes_are_played_by_some_seed(self):
        played = {scene.name for seed in SEEDS for scene in scenes(seed)}
        self.assertLessEqual({*ENTRY_SCENES, *SERVER_SCENES}, played)


if __name__ == "__main__":
    unittest.main()

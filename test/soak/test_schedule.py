"""The schedule: the same for each seed, and no scene disturbs another."""

import unittest

import made_up  # noqa: F401 - finds the soak's modules
from soaklib.configuration import SERVICES, UNMOVED
from soaklib.schedule import (BESIDE_SCENES, ENTRY_SCENES, ENTRY_SPAN,
                              SERVER_SCENES, SERVER_SPAN, Schedule)

ENTRIES = [f"entry-{i}" for i in range(6)]
SEEDS = range(1, 51)


def scenes(seed, restores=0):
    return Schedule(seed, 30.0, ENTRIES, 12, 0.6, restores).scenes()


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

    def test_scenes_beside_others_are_drawn_apart(self):
        for seed in SEEDS:
            whole = Schedule(seed, 30.0, ENTRIES, 12, 0.6)
            alone = Schedule(seed, 30.0, ENTRIES, 12, 0.6)
            alone.scenes_beside = lambda _: []
            plain = alone.scenes()
            found = whole.scenes()
            self.assertEqual(found[:len(plain)], plain)
            self.assertLessEqual({scene.name for scene in found[len(plain):]},
                                 set(BESIDE_SCENES))

    def test_a_stop_beside_changes_has_its_entry_and_server_alone(self):
        names = {*ENTRY_SCENES, *SERVER_SCENES, "stop_beside_changes"}
        for seed in SEEDS:
            found = [scene for scene in scenes(seed, 2)
                     if scene.name in names]
            for scene in found:
                if scene.name != "stop_beside_changes":
                    continue
                self.assertNotEqual(
                    SERVICES[scene.places[0] % len(SERVICES)], UNMOVED)
                for other in found:
                    shared = {*scene.entries, *scene.places} & \
                        {*other.entries, *other.places}
                    if other is not scene and shared:
                        self.assertGreaterEqual(abs(scene.at - other.at),
                                                ENTRY_SPAN, seed)

    def test_load_begins_beside_a_stop(self):
        for seed in SEEDS:
            stops = [s.at for s in scenes(seed) if s.name in ENTRY_SCENES and
                     s.name.startswith("stop")]
            for scene in scenes(seed):
                if scene.name == "busy":
                    self.assertLessEqual(
                        min(abs(scene.at - at) for at in stops), 1.0)

    def test_restores_leave_the_other_scenes_as_they_are(self):
        for seed in SEEDS:
            plain = [scene for scene in scenes(seed)
                     if not scene.name.startswith("store")]
            restored = scenes(seed, 2)
            self.assertEqual(restored, scenes(seed, 2))
            kept = [scene for scene in restored
                    if not scene.name.startswith("store")]
            self.assertEqual(kept[:len(plain)], plain)

    def test_the_store_has_no_other_disturbance_near_a_restore(self):
        for seed in SEEDS:
            found = scenes(seed, 2)
            restores = [s.at for s in found if s.name == "restore"]
            others = [s.at for s in found if s.name.startswith("store")]
            self.assertEqual(len(restores), 2)
            for at in restores:
                self.assertTrue(all(abs(at - one) > 8.0 for one in others))

    def test_drains_beside_restores_use_places_that_are_free(self):
        for seed in SEEDS:
            places = [(s.at, s.places[0]) for s in scenes(seed, 2)
                      if s.name in SERVER_SCENES]
            for index, (at, place) in enumerate(places):
                for other_at, other in places[:index]:
                    if place == other:
                        self.assertGreaterEqual(abs(at - other_at),
                                                SERVER_SPAN)

    def test_all_scenes_are_played_by_some_seed(self):
        played = {scene.name for seed in SEEDS for scene in scenes(seed)}
        self.assertLessEqual(
            {*ENTRY_SCENES, *SERVER_SCENES, *BESIDE_SCENES}, played)


if __name__ == "__main__":
    unittest.main()

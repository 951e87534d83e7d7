"""What an entry has learned binds it while the store is away or returns from
a copy."""

import unittest

from made_up import (ENTRY, SERVER, call, configured, event, evidence, line,
                     refusal, rules, served)
from soaklib import judge_kept as judge

SERVER_START = event(10.0, "server-start", SERVER, service="steady",
                     zone="east")
AWAY = event(95.0, "store-fault", "restore")


class Config(unittest.TestCase):
    events = [SERVER_START, AWAY, configured(20.0, "done", 7),
              configured(89.9, "sent", 8, "quick"),
              configured(90.0, "done", 8, "quick")]

    def found(self, sent, *events):
        calls = [call(begin=sent, sent=sent, end=sent + 0.2)]
        return rules(judge.config(evidence(
            calls, served(at=sent + 0.1), [*self.events, *events])))

    def test_the_old_service_while_the_store_is_away(self):
        self.assertEqual(self.found(96.0), ["CONFIG"])

    def test_the_old_service_after_its_return(self):
        back = event(97.0, "store-good", "store")
        self.assertEqual(self.found(98.0, back), ["CONFIG"])

    def test_in_touch_other_rules_judge(self):
        self.assertEqual(self.found(93.0), [])
        back = event(97.0, "store-good", "store")
        self.assertEqual(self.found(100.1, back), [])

    def test_a_later_version_allows_it(self):
        self.assertEqual(self.found(96.0, configured(94.0, "sent", 9)), [])

    def test_a_version_that_it_may_have_missed(self):
        self.assertEqual(
            self.found(96.0, event(91.9, "store-fault", "slow")), [])

    def test_an_entry_that_started_since(self):
        self.assertEqual(self.found(96.0, event(95.5, "start")), [])

    def test_an_entry_out_of_touch_before(self):
        self.assertEqual(self.found(96.0, event(87.1, "start")), [])
        self.assertEqual(self.found(96.0, event(86.9, "start")), ["CONFIG"])


class Unrouted(unittest.TestCase):
    events = [configured(20.0, "done", 7), configured(89.9, "sent", 8),
              configured(90.0, "done", 8)]

    def found(self, begin, *events, **changes):
        calls = [refusal(begin=begin, sent=begin, end=begin + 0.1,
                         **{"status": 404, **changes})]
        return rules(judge.unrouted(evidence(calls, (), [*self.events,
                                                         *events])))

    def test_a_route_in_force(self):
        self.assertEqual(self.found(92.1), ["CONFIG"])

    def test_a_route_that_the_entry_had(self):
        self.assertEqual(self.found(96.0, AWAY), ["CONFIG"])

    def test_a_route_that_it_may_not_know(self):
        for events in ([AWAY, event(95.5, "start")],
                       [event(90.5, "start")]):
            self.assertEqual(self.found(96.0 if len(events) == 2 else 92.1,
                                        *events), [])

    def test_a_new_route_within_the_bound(self):
        for begin, expected in ((93.9, []), (94.1, ["CONFIG"])):
            fresh = configured(92.0, "done", 9)
            fresh.fields["services"] = {"/book/": "steady", "/new/": "quick"}
            self.assertEqual(
                self.found(begin, fresh, prefix="/new/"), expected)

    def test_other_answers(self):
        self.assertEqual(self.found(92.1, status=503), [])
        self.assertEqual(self.found(92.1, stamp=f"{SERVER}.512.0.1"), [])


class Evacuate(unittest.TestCase):
    begun = event(90.0, "evacuated", "east")

    def found(self, arrival, *events):
        calls = [call(begin=arrival, sent=arrival, end=arrival + 0.2)]
        return rules(judge.evacuate(evidence(
            calls, served(at=arrival),
            [SERVER_START, self.begun, *events])))

    def test_reached_while_the_store_is_away(self):
        away = event(95.5, "store-fault", "restore")
        self.assertEqual(self.found(96.0, away), ["EVAC"])

    def test_in_touch_other_rules_judge(self):
        self.assertEqual(self.found(96.0), [])

    def test_the_store_went_away_before_the_bound(self):
        away = event(94.9, "store-fault", "restore")
        self.assertEqual(self.found(96.0, away), [])

    def test_taken_back(self):
        away = event(95.5, "store-fault", "restore")
        back = event(95.9, "taking-back", "east")
        self.assertEqual(self.found(96.0, away, back), [])


class Drain(unittest.TestCase):
    def found(self, arrival, *events):
        lines = [line(90.0, "draining", "-", store="200"),
                 *served("r2", arrival)]
        calls = [call("r2", begin=arrival - 0.1, sent=arrival - 0.1,
                      end=arrival + 0.2)]
        return rules(judge.drain(evidence(calls, lines, events)))

    def test_reached_while_the_store_is_away(self):
        self.assertEqual(self.found(96.0, AWAY), ["DRAIN"])

    def test_reached_after_its_return(self):
        back = event(97.0, "store-good", "store")
        self.assertEqual(self.found(98.0, AWAY, back), ["DRAIN"])

    def test_in_touch_other_rules_judge(self):
        self.assertEqual(self.found(96.0), [])

    def test_an_entry_that_started_since(self):
        self.assertEqual(
            self.found(96.0, AWAY, event(95.5, "start", ENTRY)), [])

    def test_the_store_went_away_before_the_bound(self):
        away = event(91.9, "store-fault", "restore")
        self.assertEqual(self.found(96.0, away), [])


if __name__ == "__main__":
    unittest.main()

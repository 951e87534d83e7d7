"""CONFIG, EVAC, DENIED and the calm phase."""

import unittest

from made_up import (SERVER, call, configured, event, evidence, refusal,
                     rules, served)
from soaklib import judge, judge_operator

SERVER_START = event(10.0, "server-start", SERVER, service="steady",
                     zone="east")


class Config(unittest.TestCase):
    events = [SERVER_START, configured(20.0, "done", 7),
              configured(90.0, "sent", 8, "quick"),
              configured(90.1, "done", 8, "quick")]

    def found(self, sent, events=()):
        calls = [call(begin=sent, sent=sent, end=sent + 0.2)]
        return rules(judge_operator.config(evidence(
            calls, served(at=sent + 0.1), [*self.events, *events])))

    def test_the_old_service_after_the_bound(self):
        self.assertEqual(self.found(92.2), ["CONFIG"])

    def test_the_old_service_before_it(self):
        self.assertEqual(self.found(92.0), [])

    def test_both_services_while_a_version_goes_out(self):
        back = configured(93.0, "sent", 9)
        self.assertEqual(self.found(93.1, [back]), [])

    def test_an_entry_out_of_touch(self):
        self.assertEqual(self.found(92.2, [event(91.0, "start")]), [])


class Evac(unittest.TestCase):
    def found(self, arrival, events=(), zone="east"):
        begun = event(90.0, "evacuated", zone)
        calls = [call(begin=arrival, sent=arrival, end=arrival + 0.2)]
        return rules(judge_operator.evacuate(evidence(
            calls, served(at=arrival), [SERVER_START, begun, *events])))

    def test_reached_after_the_bound(self):
        self.assertEqual(self.found(95.1), ["EVAC"])

    def test_reached_before(self):
        self.assertEqual(self.found(94.9), [])

    def test_another_zone(self):
        self.assertEqual(self.found(95.1, zone="west"), [])

    def test_taken_back(self):
        back = event(95.0, "taking-back", "east")
        self.assertEqual(self.found(95.1, [back]), [])


class Denied(unittest.TestCase):
    def found(self, count, **changes):
        calls = [refusal(f"r{i}", **changes) for i in range(count)]
        calls += [call(f"s{i}") for i in range(500)]
        return rules(judge_operator.denied(evidence(calls)))

    def test_many(self):
        self.assertEqual(self.found(7, status=404), ["DENIED"])

    def test_few(self):
        self.assertEqual(self.found(6, status=404), [])

    def test_refusals_and_server_errors(self):
        for status in (408, 421, 429, 502, 503):
            self.assertEqual(self.found(7, status=status), [])

    def limited(self, *limits, more=(), **changes):
        """Limits of bodies by the time of their confirmation."""
        calls = [refusal(f"r{i}", **{"status": 413, "body": 500, **changes})
                 for i in range(7)]
        calls += [call(f"s{i}") for i in range(500)]
        events = [configured(at, "done", 7 + i, body_limit=limit)
                  for i, (at, limit) in enumerate(limits)]
        return rules(judge_operator.denied(
            evidence(calls, (), [*events, *more])))

    def test_bodies_above_a_limit_that_may_be_in_force(self):
        self.assertEqual(self.limited((50.0, 499)), [])
        self.assertEqual(self.limited((50.0, 500)), ["DENIED"])
        raised = (50.0, 499), (96.9, 1000)
        self.assertEqual(self.limited(*raised), ["DENIED"])
        self.assertEqual(self.limited((50.0, 499), (97.1, 1000)), [])
        self.assertEqual(self.limited((50.0, 1000), (100.1, 499)), [])
        self.assertEqual(self.limited((50.0, 1000), (100.3, 499)),
                         ["DENIED"])

    def test_an_entry_out_of_touch_may_go_by_an_older_limit(self):
        limits = (50.0, 499), (90.0, 1000)
        woken = [event(99.0, "SIGCONT")]
        self.assertEqual(self.limited(*limits), ["DENIED"])
        self.assertEqual(self.limited(*limits, more=woken), [])
        self.assertEqual(self.limited((50.0, 1000), more=woken), ["DENIED"])

    def test_other_failures_of_large_bodies(self):
        self.assertEqual(self.limited((50.0, 499), status=400), ["DENIED"])


class Progress(unittest.TestCase):
    def found(self, good, bad, missing=()):
        calls = [call(f"g{i}") for i in range(good)]
        calls += [refusal(f"b{i}") for i in range(bad)]
        events = [event(99.0, "progress", "", missing=list(missing))]
        return rules(judge.progress(evidence(calls, (), events)))

    def test_an_entry_that_serves_nothing(self):
        self.assertEqual(self.found(10, 0, ["e1"]), ["RECOVER"])

    def test_a_quarter_is_served(self):
        self.assertEqual(self.found(1, 3), [])
        self.assertEqual(self.found(1, 4), ["RECOVER"])

    def test_no_requests_at_all(self):
        self.assertEqual(self.found(0, 0), ["RECOVER"])


class Report(unittest.TestCase):
    def test_names_seed_ids_and_nearest_events(self):
        proof = evidence([call()], served(),
                         [event(99.0, "SIGTERM"), event(80.0, "start")])
        finding = judge.Finding("LOST", 100.2, "text", "e1", "", "r1")
        lines = list(judge.report(proof, [finding], 7, 90.0))
        self.assertEqual(lines, [
            "LOST at 10.20 s seed=7 entry=e1 id=r1: text; "
            "near: SIGTERM e1 -1.20 s"])


if __name__ == "__main__":
    unittest.main()

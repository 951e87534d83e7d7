"""DRAIN and BUDGET: what reaches servers that leave or rest."""

import unittest

from made_up import (ENTRY, SERVER, call, event, evidence, line, rules,
                     served)
from soaklib import judge_servers as judge


class DrainByAnswers(unittest.TestCase):
    def found(self, sent, events=(), told=None, entry=ENTRY):
        calls = [told or call(), call("r2", begin=sent, sent=sent,
                                      end=sent + 0.2, entry=entry)]
        lines = served(leaving="1") + served("r2", sent + 0.1)
        return rules(judge.drain_by_answers(evidence(calls, lines, events)))

    def test_sent_after_the_bound(self):
        self.assertEqual(self.found(102.3), ["DRAIN"])

    def test_sent_before(self):
        self.assertEqual(self.found(102.1), [])

    def test_from_another_entry(self):
        self.assertEqual(self.found(102.3, entry="e2"), [])

    def test_the_answer_was_not_passed_on(self):
        told = call(status=0, how="closed", stamp="")
        self.assertEqual(self.found(102.3, told=told), [])

    def test_an_answer_that_does_not_say_it(self):
        calls = [call(), call("r2", begin=102.3, sent=102.3, end=102.5)]
        lines = served() + served("r2", 102.4)
        found = judge.drain_by_answers(evidence(calls, lines))
        self.assertEqual(rules(found), [])

    def test_a_restart_or_a_freeze_since(self):
        for word in ("start", "SIGSTOP", "SIGCONT"):
            self.assertEqual(self.found(102.3, [event(101.0, word)]), [])
        self.assertEqual(self.found(102.3, [event(99.0, "start")]),
                         ["DRAIN"])

    def test_out_of_touch_excuses_nothing(self):
        events = [event(101.0, "SIGTERM"),
                  event(101.0, "store-fault", "store")]
        self.assertEqual(self.found(102.3, events), ["DRAIN"])


class DrainByStore(unittest.TestCase):
    def found(self, arrival, events=(), word="draining", store="200"):
        lines = [line(100.0, word, "-", store=store),
                 *served("r2", arrival)]
        calls = [call("r2", begin=arrival - 0.1, sent=arrival - 0.1,
                      end=arrival + 0.2)]
        return rules(judge.drain_by_store(evidence(calls, lines, events)))

    def test_reached_after_the_bound(self):
        for word in ("draining", "withdrawn"):
            self.assertEqual(self.found(102.1, word=word), ["DRAIN"])

    def test_reached_before(self):
        self.assertEqual(self.found(101.9), [])

    def test_the_store_did_not_take_it(self):
        self.assertEqual(self.found(102.1, store="0"), [])

    def test_an_entry_out_of_touch(self):
        for word in ("start", "SIGTERM", "SIGCONT"):
            self.assertEqual(self.found(102.1, [event(101.0, word)]), [])

    def test_a_store_in_disturbance(self):
        self.assertEqual(
            self.found(102.1, [event(99.0, "store-fault", "store")]), [])

    def test_refused_as_misdirected(self):
        lines = [line(100.0, "draining", "-", store="200"),
                 line(103.0, "arrived"), line(103.0, "misdirected")]
        calls = [call(begin=102.9, sent=102.9, end=103.1, status=421)]
        found = judge.drain_by_store(evidence(calls, lines))
        self.assertEqual(rules(found), [])


class Budget(unittest.TestCase):
    def found(self, times, events=(), entry=ENTRY, rest="2000"):
        calls = [call(status=503, stamp="")]
        lines = [line(100.1, "arrived"),
                 line(100.1, "refused", retry_after_ms=rest)]
        for i, at in enumerate(times):
            calls.append(call(f"s{i}", begin=at, sent=at, entry=entry))
            lines += served(f"s{i}", at)
        return rules(judge.budget(evidence(calls, lines, events)))

    def test_three_requests(self):
        self.assertEqual(self.found([100.7, 101.0, 102.0]), ["BUDGET"])

    def test_two_requests(self):
        self.assertEqual(self.found([100.7, 101.0]), [])

    def test_too_soon_or_after_the_end(self):
        self.assertEqual(self.found([100.5, 101.0, 102.0]), [])
        self.assertEqual(self.found([100.7, 101.0, 102.2]), [])

    def test_another_entry(self):
        self.assertEqual(self.found([100.7, 101.0, 102.0], entry="e2"), [])

    def test_a_restart_or_a_freeze(self):
        for word in ("start", "SIGCONT"):
            found = self.found([100.7, 101.0, 102.0], [event(100.6, word)])
            self.assertEqual(found, [], word)

    def test_a_refusal_without_a_time(self):
        calls = [call()] + [call(f"s{i}") for i in range(3)]
        lines = [line(100.1, "refused")]
        for i in range(3):
            lines += served(f"s{i}", 101.0 + i / 10)
        found = judge.budget(evidence(calls, lines))
        self.assertEqual(rules(found), [])


if __name__ == "__main__":
    unittest.main()

"""TWICE, REFUSED, MIXED, UNASKED, HELD: a breach and its opposite."""

import unittest

from made_up import call, cut, event, evidence, line, refusal, rules, served
from soaklib import judge_requests as judge


class Twice(unittest.TestCase):
    lines = [line(100.1, "run"), line(100.3, "run", instance="i-2")]

    def test_an_unsafe_request_that_ran_twice(self):
        found = judge.twice(evidence([call()], self.lines))
        self.assertEqual(rules(found), ["TWICE"])

    def test_a_safe_one_may(self):
        found = judge.twice(evidence([call(unsafe=False)], self.lines))
        self.assertEqual(rules(found), [])

    def test_an_unsafe_one_that_ran_once(self):
        found = judge.twice(evidence([call()], self.lines[:1]))
        self.assertEqual(rules(found), [])


class Refused(unittest.TestCase):
    def test_each_promise_binds_before_and_after_the_answer(self):
        for status in (408, 421, 429, 503):
            for at in (100.1, 105.0):
                found = judge.refused(evidence(
                    [refusal(status=status)], [line(at, "run")]))
                self.assertEqual(rules(found), ["REFUSED"], (status, at))

    def test_a_refusal_of_what_never_ran(self):
        lines = [line(100.1, "arrived"), line(100.1, "refused")]
        found = judge.refused(evidence([refusal()], lines))
        self.assertEqual(rules(found), [])

    def test_other_failures_promise_nothing(self):
        for status in (502, 504):
            found = judge.refused(evidence(
                [refusal(status=status)], [line(100.1, "run")]))
            self.assertEqual(rules(found), [], status)


class Mixed(unittest.TestCase):
    def test_what_the_caller_found_wrong(self):
        found = judge.mixed(evidence([call(wrong="a body")], served()))
        self.assertEqual(rules(found), ["MIXED"])

    def test_another_status_than_the_server_gave(self):
        lines = served()[:2] + [line(100.2, "answered", status="504")]
        found = judge.mixed(evidence([call()], lines))
        self.assertEqual(rules(found), ["MIXED"])

    def test_a_stamp_of_a_server_that_did_not_answer(self):
        found = judge.mixed(evidence([call()], served(instance="i-2")))
        self.assertEqual(rules(found), ["MIXED"])

    def test_a_right_answer(self):
        self.assertEqual(rules(judge.mixed(evidence([call()], served()))), [])

    def test_bytes_that_belong_to_no_request(self):
        for text, expected in (("b'HTTP/1.1 200 -", ["MIXED"]),
                               ("b'xyz", ["MIXED"]),
                               ("b'HTTP/1.1 408 -", [])):
            stray = call(how="stray", wrong=text)
            self.assertEqual(rules(judge.mixed(evidence([stray]))), expected)


class Unasked(unittest.TestCase):
    def test_a_request_that_no_caller_sent(self):
        found = judge.unasked(evidence([call()], served("r2")))
        self.assertEqual(rules(found), ["UNASKED"])

    def test_callers_and_the_soak_itself(self):
        lines = served("r1") + served("calm-1")
        found = judge.unasked(evidence([call()], lines))
        self.assertEqual(rules(found), [])


class Held(unittest.TestCase):
    def late(self, count, end=109.0, **changes):
        return [cut(f"r{i}", how="gave_up", end=end, **changes)
                for i in range(count)]

    def test_many_that_are_held(self):
        found = judge.held(evidence(self.late(8)))
        self.assertEqual(rules(found), ["HELD"])

    def test_fewer_than_the_bound(self):
        self.assertEqual(rules(judge.held(evidence(self.late(7)))), [])

    def test_answers_soon_after_the_deadline(self):
        found = judge.held(evidence(self.late(8, end=108.4)))
        self.assertEqual(rules(found), [])

    def test_a_small_share_of_those_that_last(self):
        soon = [cut(f"s{i}", end=108.1) for i in range(30)]
        found = judge.held(evidence(self.late(8) + soon))
        self.assertEqual(rules(found), [])

    def test_a_frozen_entry(self):
        found = judge.held(evidence(self.late(8), (),
                                    [event(105.0, "SIGSTOP")]))
        self.assertEqual(rules(found), [])

    def test_a_late_caller(self):
        found = judge.held(evidence(self.late(8, lag=0.6)))
        self.assertEqual(rules(found), [])


if __name__ == "__main__":
    unittest.main()

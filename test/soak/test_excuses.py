"""LOST in a planned stop: each excuse, and its limit."""

import unittest

from made_up import (PASSED_ON, SERVER, call, configured, cut, event, evidence,
                     in_stop, line, rules)
from soaklib import judge_stops as judge


class Excuses(unittest.TestCase):
    def test_the_deadline(self):
        self.assertEqual(in_stop([cut(deadline=0.2)], PASSED_ON), [])
        self.assertEqual(in_stop([cut(deadline=0.3)], PASSED_ON), ["LOST"])

    def test_the_timeout_of_the_route(self):
        short = configured(50.0, "done", 7, timeout=0.2)
        self.assertEqual(in_stop([cut()], PASSED_ON, [short]), [])
        longer = configured(60.0, "done", 8)
        self.assertEqual(in_stop([cut()], PASSED_ON, [short, longer]),
                         ["LOST"])

    def test_the_server_broke_off(self):
        ended = event(100.1, "server-end", SERVER)
        self.assertEqual(in_stop([cut()], PASSED_ON, [ended]), [])
        broke = [*PASSED_ON, line(100.1, "broke")]
        self.assertEqual(in_stop([cut()], broke), [])
        before = event(99.0, "server-end", "i-2")
        self.assertEqual(in_stop([cut()], PASSED_ON, [before]), ["LOST"])

    def test_just_before_the_deadline(self):
        self.assertEqual(in_stop([cut(deadline=0.21)], PASSED_ON), ["LOST"])

    def test_a_server_that_broke_off_before_another_had_it(self):
        other = [line(100.15, "arrived", instance="i-2"),
                 line(100.15, "run", instance="i-2")]
        first = [*PASSED_ON, line(100.1, "broke"), *other]
        self.assertEqual(in_stop([cut()], first), ["LOST"])
        ended = event(100.12, "server-end", SERVER)
        self.assertEqual(in_stop([cut()], [*PASSED_ON, *other], [ended]),
                         ["LOST"])
        last = [*PASSED_ON, line(100.1, "dropped"), *other,
                line(100.18, "broke", instance="i-2")]
        self.assertEqual(in_stop([cut()], last), [])

    def test_a_server_that_broke_off_while_another_worked(self):
        other = [line(100.1, "arrived", instance="i-2"),
                 line(100.1, "run", instance="i-2")]
        ended = event(100.15, "server-end", "i-2")
        self.assertEqual(in_stop([cut()], [*PASSED_ON, *other], [ended]),
                         ["LOST"])
        over = [*PASSED_ON, line(100.08, "dropped"), *other]
        self.assertEqual(in_stop([cut()], over, [ended]), [])

    def test_a_server_that_is_silent(self):
        for word in ("SIGSTOP", "SIGCONT"):
            silent = event(100.1, word, SERVER)
            self.assertEqual(in_stop([cut()], PASSED_ON, [silent]), ["LOST"])

    def test_long_work_of_a_server_that_ended(self):
        early = cut(begin=98.9, sent=98.9, end=101.5)
        elsewhere = [line(98.9, "arrived", instance="i-2"),
                     line(98.9, "run", instance="i-2")]
        ended = event(99.5, "server-end", "i-2")
        again = [line(99.6, "arrived"), line(99.6, "run"),
                 line(100.0, "answered", status="200")]
        self.assertEqual(in_stop([early], elsewhere + again, [ended]),
                         ["LOST"])

    def test_long_work_on_what_was_sent_early(self):
        early = {"begin": 98.9, "sent": 98.9, "end": 101.5}
        self.assertEqual(in_stop([cut(**early)], PASSED_ON), [])
        done = [*PASSED_ON, line(100.9, "answered", status="200")]
        self.assertEqual(in_stop([cut(**early)], done), ["LOST"])
        still = [*PASSED_ON, line(101.1, "dropped")]
        self.assertEqual(in_stop([cut(**early)], still), [])

    def test_long_work_on_what_was_sent_late(self):
        late = {"begin": 99.1, "sent": 99.1, "end": 101.5}
        self.assertEqual(in_stop([cut(**late)], PASSED_ON), ["LOST"])

    def test_unplanned_disturbance(self):
        for word in ("SIGSTOP", "SIGCONT"):
            for at, expected in ((97.1, []), (96.9, ["LOST"]), (100.1, [])):
                if word == "SIGSTOP" and at == 96.9:
                    expected = []  # it is stopped still
                found = in_stop([cut()], PASSED_ON, [event(at, word)])
                self.assertEqual(found, expected, (word, at))

    def test_the_kill_at_the_end_of_the_grace_is_planned(self):
        late = cut(begin=101.0, sent=101.0, end=102.0)
        self.assertEqual(in_stop([late], PASSED_ON,
                                 [event(102.0, "SIGKILL")]), ["LOST"])

    def test_a_kill_of_a_later_process_is_unplanned(self):
        # Seed 44004: signalled twice, ended, started anew, killed.
        later = cut(begin=101.0, sent=101.0, end=102.0)
        ended = [event(96.5, "SIGTERM"), event(97.0, "exit", code=0)]
        new = [event(97.5, "start"), event(101.95, "SIGKILL")]
        self.assertEqual(in_stop([later], PASSED_ON, ended + new), [])
        self.assertEqual(in_stop([later], PASSED_ON, new), [])
        self.assertEqual(in_stop([later], PASSED_ON, ended + new[:1]),
                         ["LOST"])

    def test_the_kill_after_a_second_signal_is_planned(self):
        late = cut(begin=101.0, sent=101.0, end=102.0)
        self.assertEqual(in_stop([late], PASSED_ON, [
            event(99.0, "SIGTERM"), event(102.0, "SIGKILL")]), ["LOST"])

    def test_the_kill_in_the_stop_of_a_later_process_is_planned(self):
        late = cut(begin=101.0, sent=101.0, end=102.0)
        self.assertEqual(in_stop([late], PASSED_ON, [
            event(97.0, "exit", code=0), event(97.5, "start"),
            event(97.9, "SIGTERM"), event(102.0, "SIGKILL")]), ["LOST"])

    def test_a_kill_without_a_plan(self):
        found = judge.lost_in_stops(evidence(
            [cut()], PASSED_ON, [event(100.1, "SIGKILL")]))
        self.assertEqual(rules(found), [])

    def test_a_store_in_disturbance_excuses_nothing(self):
        fault = event(99.0, "store-fault", "store")
        self.assertEqual(in_stop([cut()], PASSED_ON, [fault]), ["LOST"])


class BehindOthers(unittest.TestCase):
    """Requests behind one whose answer had to be broken off."""

    behind = cut("c1-2", position=2, end=101.5)

    def found(self, lines, **changes):
        first = cut("c1-1", **{"how": "cut", "end": 101.5, **changes})
        return in_stop([first, self.behind], lines)

    def passed_on(self, *more):
        return [line(100.05, "arrived", "c1-1"),
                line(100.05, "run", "c1-1"), *more]

    def test_a_sound_server(self):
        lines = self.passed_on(line(100.1, "answered", "c1-1", status="200"))
        self.assertEqual(self.found(lines), ["LOST", "LOST"])

    def test_a_server_that_broke_off(self):
        lines = self.passed_on(line(101.4, "broke", "c1-1"))
        self.assertEqual(self.found(lines), [])

    def test_a_limit(self):
        self.assertEqual(self.found(self.passed_on(), deadline=1.5), [])

    def test_before_an_answer_began(self):
        lines = self.passed_on(line(101.4, "broke", "c1-1"))
        self.assertEqual(self.found(lines, how="closed"), ["LOST"])
        self.assertEqual(
            self.found(self.passed_on(), how="closed", deadline=1.5),
            ["LOST"])

    def test_long_work(self):
        early = {"begin": 98.9, "sent": 98.9}
        self.assertEqual(self.found(self.passed_on(), **early), [])

    def test_on_another_connection(self):
        lines = self.passed_on(line(101.4, "broke", "c1-1"))
        self.assertEqual(self.found(lines, connection=2), ["LOST"])
        first = cut("c2-1", how="cut", end=101.5)
        self.assertEqual(in_stop([first, self.behind], [
            line(100.05, "arrived", "c2-1"),
            line(101.4, "broke", "c2-1")]), ["LOST"])

    def test_after_a_whole_answer(self):
        self.assertEqual(in_stop(
            [call("c1-1", end=101.5), self.behind],
            self.passed_on(line(101.4, "broke", "c1-1"))), ["LOST"])


if __name__ == "__main__":
    unittest.main()

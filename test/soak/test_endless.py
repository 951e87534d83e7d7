"""Answers without an end, and entries that grow or end beside them."""

import asyncio
import unittest

from made_up import (PASSED_ON, call, cut, event, evidence, in_stop,
                     line, refusal, rules)
from soaklib import judge_requests, judge_stops, wire
from soaklib.endless import endless_scenes
from soaklib.schedule import Schedule

ENDLESS = line(100.1, "endless", form="length", status="200", slow="0")
ELSEWHERE = [line(100.12, "arrived", instance="i-2"),
             line(100.12, "run", instance="i-2")]


class Lost(unittest.TestCase):
    def test_the_last_server_answered_without_an_end(self):
        self.assertEqual(in_stop([cut()], PASSED_ON), ["LOST"])
        self.assertEqual(in_stop([cut()], [*PASSED_ON, ENDLESS]), [])
        self.assertEqual(
            in_stop([cut(how="cut")], [*PASSED_ON, ENDLESS]), [])

    def test_another_server_had_it_later(self):
        self.assertEqual(
            in_stop([cut()], [*PASSED_ON, ENDLESS, *ELSEWHERE]), ["LOST"])

    def test_another_server_was_at_work(self):
        still = [line(100.0, "arrived", instance="i-2"),
                 line(100.0, "run", instance="i-2")]
        self.assertEqual(
            in_stop([cut()], [*still, *PASSED_ON, ENDLESS]), ["LOST"])

    def test_another_request_was_answered_without_an_end(self):
        other = line(100.1, "endless", "r2")
        self.assertEqual(in_stop([cut()], [*PASSED_ON, other]), ["LOST"])

    def test_it_began_after_the_cut(self):
        late = line(100.3, "endless")
        self.assertEqual(in_stop([cut()], [*PASSED_ON, late]), ["LOST"])

    def test_an_own_answer_in_its_place(self):
        given = refusal(status=502)
        self.assertEqual(in_stop([given], PASSED_ON), ["LOST"])
        self.assertEqual(in_stop([given], [*PASSED_ON, ENDLESS]), [])
        # Another server that is at work still owes its answer.
        self.assertEqual(
            in_stop([given], [*PASSED_ON, ENDLESS, *ELSEWHERE]), ["LOST"])


class Mixed(unittest.TestCase):
    def found(self, calls, lines):
        return rules(judge_requests.mixed(evidence(calls, lines)))

    def test_more_bytes_than_the_answer_has(self):
        left = cut(how="oversized", oversized=True)
        self.assertEqual(self.found([left], PASSED_ON), ["MIXED"])
        self.assertEqual(self.found([left], [*PASSED_ON, ENDLESS]), [])
        other = line(100.1, "endless", "r2")
        self.assertEqual(self.found([left], [*PASSED_ON, other]), ["MIXED"])

    def test_an_endless_answer_that_looks_complete(self):
        self.assertEqual(self.found([call()], [*PASSED_ON, ENDLESS]),
                         ["MIXED"])

    def test_a_wrong_body_of_a_request_without_an_end(self):
        wrong = call(wrong="a body of 5 bytes is not the server's")
        self.assertEqual(self.found([wrong], [*PASSED_ON, ENDLESS]),
                         ["MIXED"])


class Entries(unittest.TestCase):
    def test_resident_memory_above_the_bound(self):
        for mb, expected in ((160.0, []), (160.1, ["MEMORY"])):
            found = judge_stops.memory(evidence(
                events=[event(101.0, "memory", pid=1, mb=mb)]))
            self.assertEqual(rules(found), expected)

    def test_one_that_ends_by_itself_is_told_with_its_last_line(self):
        died = event(101.0, "exit", code=-6, last="Assertion failed")
        found = list(judge_stops.ends(evidence(
            events=[event(90.0, "start"), died])))
        self.assertEqual(rules(found), ["EXIT"])
        self.assertIn("code -6, last line: Assertion failed", found[0].text)


class Scenes(unittest.TestCase):
    entries = [f"entry-{i}" for i in range(4)]

    def scenes(self, seed, count):
        plain = Schedule(seed, 15.0, self.entries, 9, 0.6).scenes()
        return plain, endless_scenes(seed, count, plain, list(range(9)),
                                     lambda place: place % 3)

    def test_a_seed_decides_all(self):
        for seed in range(1, 51):
            self.assertEqual(self.scenes(seed, 3), self.scenes(seed, 3))
            self.assertEqual(len(self.scenes(seed, 3)[1]), 3)

    def test_one_or_two_servers_of_one_service_near_a_stop(self):
        just_before = 0
        for seed in range(1, 51):
            plain, added = self.scenes(seed, 3)
            stops = [s.at for s in plain if s.name.startswith("stop")]
            for scene in added:
                self.assertIn(len(scene.places), (1, 2))
                self.assertEqual(len({p % 3 for p in scene.places}), 1)
                self.assertLessEqual(
                    min(abs(at - scene.at) for at in stops), 3.0)
                just_before += any(0 < at - scene.at <= 0.2 for at in stops)
        self.assertGreater(just_before, 30)


class Reading(unittest.TestCase):
    head = b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n"

    def answer(self, data, size):
        async def read():
            connection = wire.Connection("e1")
            connection.data_received(data)
            return await connection.answer(0.0, size)
        return asyncio.run(read())

    def test_more_than_twice_the_body_is_no_proper_answer(self):
        chunk = b"1\r\nx\r\n"
        within = (wire.FRAMING + 2000 - len(self.head)) // len(chunk)
        with self.assertRaises(wire.Oversized):
            self.answer(self.head + chunk * (within + 1), 1000)
        with self.assertRaises(TimeoutError):
            self.answer(self.head + chunk * within, 1000)

    def test_a_chunked_body_in_pieces(self):
        chunks = wire.Chunks()
        buffer = bytearray(self.head)
        for piece in (b"4\r\nbo", b"dy\r", b"\n2\r\nxx\r\n", b"0\r\n"):
            buffer += piece
            self.assertIsNone(wire.take_answer(buffer, chunks))
        buffer += b"\r\nHTTP"
        self.assertEqual(wire.take_answer(buffer, chunks).body, b"bodyxx")
        self.assertEqual(buffer, b"HTTP")


if __name__ == "__main__":
    unittest.main()

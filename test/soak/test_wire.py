"""What callers take for a whole answer, and for a right one."""

import unittest
import zlib

import made_up  # noqa: F401 - finds the soak's modules
from soaklib import requests, wire
from soaklib.records import Call

HEAD = b"HTTP/1.1 200 -\r\nContent-Length: 4\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n"


class TakeAnswer(unittest.TestCase):
    def test_each_cut_position_is_not_whole(self):
        for text in (HEAD + b"body", CHUNKED + b"4\r\nbody\r\n0\r\n\r\n"):
            for end in range(len(text)):
                self.assertIsNone(wire.take_answer(bytearray(text[:end])))
            answer = wire.take_answer(bytearray(text))
            self.assertEqual((answer.status, answer.body), (200, b"body"))

    def test_leaves_what_follows(self):
        buffer = bytearray(HEAD + b"bodyHTTP")
        wire.take_answer(buffer)
        self.assertEqual(buffer, b"HTTP")

    def test_bytes_that_are_no_answer(self):
        for text in (b"HELLO\r\n\r\n", b"HTTP/1.1 abc -\r\n\r\n",
                     b"HTTP/1.1 200 -\r\n\r\n",
                     CHUNKED + b"zz\r\nbody\r\n"):
            with self.assertRaises(wire.Garbage):
                wire.take_answer(bytearray(text))


class Problem(unittest.TestCase):
    form = requests.Form("book", "POST", "/book/", True, size=10, upload=20)

    def problem(self, status=200, **changes):
        stamp = zlib.adler32(requests.upload_body("r1", self.form))
        fields = {"request-id": "r1", "response-stamp": f"i-1.10.20.{stamp}",
                  **changes}
        body = fields.pop("body", b"r1 i-1\nr1 ")
        call = Call("r1", "book", True, "e1", 1, 0, "/book/", 8.0, 0.0)
        requests.note_answer(self.form, call,
                             wire.Answer(status, fields, body))
        return call.wrong

    def test_a_right_answer(self):
        self.assertEqual(self.problem(), "")

    def test_wrong_ones(self):
        for changes in ({"body": b"r1 i-1\nr1"}, {"body": b"r2 i-1\nr2 "},
                        {"request-id": "r2"}, {"request-id": ""},
                        {"response-stamp": ""},
                        {"response-stamp": "i-1.10.20.1"},
                        {"response-stamp": "i-1.9.20.1"}):
            self.assertNotEqual(self.problem(**changes), "", changes)

    def test_a_failure_of_another_request(self):
        self.assertNotEqual(self.problem(503, **{"request-id": "r2"}), "")
        self.assertEqual(self.problem(503, **{"response-stamp": ""}), "")


if __name__ == "__main__":
    unittest.main()

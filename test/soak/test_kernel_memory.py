"""Tests of the memory that the kernel keeps for sockets."""

import pathlib
import socket
import struct
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "bench"))

import kernel_memory  # noqa: E402


class SocketMemoryTest(unittest.TestCase):
    def test_memory_that_is_released_is_not_counted_as_gigabytes(self):
        out = kernel_memory.SocketMemory()
        out.add(struct.pack("=IIIIiIIII", 4096, 0, 0, 0, -4096, 2048, 0, 0, 0),
                100)
        self.assertEqual(out.total(), 2048)

    def test_unread_input_of_a_process_is_found(self):
        size = 10_000
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with socket.create_connection(listener.getsockname()) as sender:
                receiver, _ = listener.accept()
                with receiver:
                    sender.sendall(bytes(size))
                    receiver.recv(size, socket.MSG_PEEK | socket.MSG_WAITALL)
                    found = kernel_memory.socket_memory("self")
        self.assertGreaterEqual(found.unread, size)
        self.assertGreaterEqual(found.received, size)


if __name__ == "__main__":
    unittest.main()

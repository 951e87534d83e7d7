"""Memory that the kernel keeps for the TCP sockets of a process.

Asks the kernel for the buffers of all sockets of IPv4 (NETLINK_SOCK_DIAG) and
adds up those of one process. Sockets without a process (in a listen queue, or
closed with bytes left to send) are told by the local port.
"""

import dataclasses
import os
import re
import socket
import struct

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST, NLM_F_DUMP = 0x1, 0x300
NLMSG_ERROR, NLMSG_DONE = 2, 3
INET_DIAG_SKMEMINFO = 7
ALL_STATES = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBxI48x")
# Family, state, timer, retransmits; ports; addresses, interface and cookie;
# expires, queue of input, queue of output, user, inode.
MESSAGE = struct.Struct("=BBBB2s2s44xIIIII")
ATTRIBUTE = struct.Struct("=HH")
# Input, its limit, output below TCP, its limit, reserved, output of TCP,
# options, input that waits for a lock, drops. What is reserved is below zero
# for a moment while the kernel frees buffers.
BUFFERS = struct.Struct("=IIIIiIIII")
RECEIVE_BYTES = 1 << 20


@dataclasses.dataclass
class SocketMemory:
    """Bytes for the sockets of a process."""

    sockets: int = 0
    unread: int = 0    # received, not yet read: payload
    received: int = 0  # buffers that hold it
    unsent: int = 0    # buffers of what the peers have not acknowledged
    reserved: int = 0  # not in use

    def add(self, buffers, unread):
        """Adds the buffers of one socket."""
        received, _, _, _, reserved, unsent, _, backlog, _ = (
            BUFFERS.unpack_from(buffers))
        self.sockets += 1
        self.unread += unread
        self.received += received + backlog
        self.unsent += unsent
        self.reserved += reserved

    def total(self):
        return self.received + self.unsent + self.reserved


def inodes_of(pid):
    """Sockets of a process; empty when it has ended."""
    out = set()
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            try:
                target = os.readlink(f"/proc/{pid}/fd/{name}")
            except FileNotFoundError:
                continue  # closed meanwhile
            found = re.fullmatch(r"socket:\[(\d+)\]", target)
            if found:
                out.add(int(found[1]))
    except (FileNotFoundError, ProcessLookupError):
        pass
    return out


def attributes(data):
    """Type and value of each attribute of a message."""
    while len(data) >= ATTRIBUTE.size:
        size, kind = ATTRIBUTE.unpack_from(data)
        if size < ATTRIBUTE.size:
            return
        yield kind, data[ATTRIBUTE.size:size]
        data = data[(size + 3) & ~3:]


def messages(netlink):
    """Payload of each message of a dump."""
    while True:
        data = netlink.recv(RECEIVE_BYTES)
        while len(data) >= HEADER.size:
            size, kind, _, _, _ = HEADER.unpack_from(data)
            if kind == NLMSG_DONE:
                return
            if kind == NLMSG_ERROR:
                code = struct.unpack_from("=i", data, HEADER.size)[0]
                raise OSError(-code, os.strerror(-code))
            yield data[HEADER.size:size]
            data = data[(size + 3) & ~3:]


def socket_memory(pid, ports=()):
    """Reads the buffers of a process's sockets, and of sockets without a
    process that have one of its ports."""
    owned = inodes_of(pid)
    out = SocketMemory()
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       NETLINK_SOCK_DIAG) as netlink:
        body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP,
                            1 << (INET_DIAG_SKMEMINFO - 1), ALL_STATES)
        netlink.send(HEADER.pack(HEADER.size + len(body), SOCK_DIAG_BY_FAMILY,
                                 NLM_F_REQUEST | NLM_F_DUMP, 1, 0) + body)
        for data in messages(netlink):
            fields = MESSAGE.unpack_from(data)
            port, unread, inode = (int.from_bytes(fields[4], "big"), fields[7],
                                   fields[10])
            if inode not in owned and (inode or port not in ports):
                continue
            for kind, value in attributes(data[MESSAGE.size:]):
                if kind != INET_DIAG_SKMEMINFO:
                    continue
                out.add(value, unread)
    return out

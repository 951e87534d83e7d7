"""One entry on a machine of bounded processor share, and what it uses."""

import os
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review" / "standin"))
import deployment as d  # noqa: E402
import kernel_memory  # noqa: E402

WINDOW_S = 0.1
TICK_S = 0.002
START_LIMIT_S = 30
SOCKETS_S = 0.1  # between two looks at the kernel's buffers
BYTES_IN_MB = 1 << 20


def run_time_s(pid):
    """Run time of all threads that have not ended."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/schedstat",
                      encoding="ascii") as file:
                total += int(file.read().split()[0])
        except (FileNotFoundError, ProcessLookupError):
            pass  # the thread ended meanwhile
    return total / 1e9


def size_mb(sizes, key):
    """A size in kB of /proc/PID/status; 0 when the process is ending."""
    return int(sizes[key].split()[0]) / 1024 if key in sizes else 0.0


def queued_s(pid):
    """Time in which the main thread was ready to run and got no processor."""
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[1]) / 1e9


def hold_to_share(pid, share):
    """Body of a process: stops another one for the rest of each window in
    which it has used its share of a processor. What it ran too long in one
    window is taken off the next ones."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    handle = os.pidfd_open(pid)
    used, left, stopped = run_time_s(pid), 0.0, False
    window_ends = time.monotonic()
    try:
        while True:
            now = time.monotonic()
            if now >= window_ends:
                left = min(0.0, left) + share * WINDOW_S
                window_ends = now + WINDOW_S
            ran = run_time_s(pid)
            left -= max(0.0, ran - used)
            used = ran
            if (left <= 0) != stopped:
                stopped = left <= 0
                signal.pidfd_send_signal(
                    handle, signal.SIGSTOP if stopped else signal.SIGCONT)
            time.sleep(min(TICK_S, max(0.0, window_ends - time.monotonic())))
    except (ProcessLookupError, FileNotFoundError):
        pass


class Machine(d.Entry):
    """An entry, its share and the highest figures of all its processes."""

    def __init__(self, folder, store_port, program, net, share, context):
        super().__init__(folder, 0, d.ZONES[0], store_port)
        if net:
            self.ip = f"127.{net}.1.1"
            self.front, self.ready, self.directory, self.control = (
                (self.ip, d.free_port(self.ip)) for _ in range(4))
        self.program = program
        self.share = share
        self.context = context
        self.holder = None
        self.peak_mb = 0.0  # resident
        self.peak_sum_mb = 0.0  # with the kernel's buffers of its sockets
        self.at_peak = kernel_memory.SocketMemory()
        self.looked_at = 0.0
        self.cpu_before_s = self.cpu_now_s = 0.0
        self.queued_s = 0.0  # of the process that runs now
        self.ends = []  # findings on processes that ended by themselves
        self.starts = 0

    def write_settings(self, seeds, bootstrap=True):
        super().write_settings(seeds, bootstrap)
        lines = [f"cores = {self.share}" if line.startswith("cores =")
                 else line for line in self.path.read_text().splitlines()]
        self.path.write_text("\n".join(lines) + "\n")

    def start(self):
        self.starts += 1
        self.errors = pathlib.Path(self.folder) / f"stderr-{self.starts}.txt"
        with open(pathlib.Path(self.folder) / f"{self.name}.log",
                  "ab") as log, open(self.errors, "wb") as errors:
            self.process = subprocess.Popen(
                [str(self.program), "--settings", str(self.path)], cwd=ROOT,
                stdout=log, stderr=errors, stdin=subprocess.DEVNULL)
        self.cpu_before_s += self.cpu_now_s
        self.cpu_now_s = 0.0
        if self.share < 1:
            self.holder = self.context.Process(
                target=hold_to_share, args=(self.process.pid, self.share),
                daemon=True)
            self.holder.start()

    def wait_ready(self):
        """False when the process ended before it was ready."""
        end = time.monotonic() + START_LIMIT_S
        while not self.is_ready_now():
            if not self.observe():
                return False
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} is not ready")
            time.sleep(0.05)
        return True

    def is_ready_now(self):
        try:
            text = d.socket.create_connection(self.ready, 0.5)
        except OSError:
            return False
        with text:
            try:
                text.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                return b" 200 " in text.recv(4096).split(b"\r\n")[0]
            except OSError:
                return False

    def observe(self):
        """Reads what the process uses; False when it has ended."""
        if self.process.poll() is not None:
            return False
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as file:
                sizes = dict(line.split(":") for line in file)
            self.peak_mb = max(self.peak_mb, size_mb(sizes, "VmHWM"))
            self.observe_sockets(size_mb(sizes, "VmRSS"))
            self.cpu_now_s = run_time_s(self.process.pid)
            self.queued_s = queued_s(self.process.pid)
        except (FileNotFoundError, ProcessLookupError):
            return False
        return True

    def observe_sockets(self, resident_mb):
        """The peaks of both need not come at the same time, so their sum is
        taken at each look."""
        now = time.monotonic()
        if now < self.looked_at + SOCKETS_S:
            return
        self.looked_at = now
        ports = {place[1] for place in (self.front, self.ready,
                                        self.directory, self.control)}
        buffers = kernel_memory.socket_memory(self.process.pid, ports)
        total = resident_mb + buffers.total() / BYTES_IN_MB
        if total > self.peak_sum_mb:
            self.peak_sum_mb, self.at_peak = total, buffers

    def cpu_s(self):
        return self.cpu_before_s + self.cpu_now_s

    def note_end(self, expected):
        """Records how the process ended, unless that is expected."""
        code = self.process.returncode
        if code in expected:
            return
        lines = self.errors.read_text("utf-8", "replace").splitlines()
        self.ends.append(f"status {code}: {lines[-1] if lines else '-'}")

    def release(self):
        if self.holder:
            self.holder.terminate()
            self.holder.join()
            self.holder = None
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)

    def stop_planned(self, grace_s):
        """SIGTERM, then SIGKILL after the grace. Returns whether it ended
        by itself in time."""
        self.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + grace_s
        while time.monotonic() < end and self.observe():
            time.sleep(0.01)
        in_time = self.process.poll() is not None
        self.release()
        if not in_time:
            self.process.kill()
        self.process.wait()
        self.note_end((0,) if in_time else (0, -signal.SIGKILL))
        return in_time

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.release()
        self.note_end((-signal.SIGKILL,))

    def finish(self):
        """Ends the process behind a play."""
        if not self.observe():
            self.process.wait()
            self.note_end(())
        self.release()
        self.stop()

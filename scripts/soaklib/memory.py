"""Peak of the resident memory of entries."""

import pathlib
import threading

PERIOD = 0.1  # from one sample of an entry to the next, in seconds


def peak_mb(pid):
    """Peak of a process; None once it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    except OSError:
        return None
    told = status.partition("VmHWM:")[2].split()
    return int(told[0]) / 1024 if told else None


class MemoryWatch:
    """Samples entries on a thread of its own; a context manager."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.peaks = {}  # by entry and process id
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.over.set()
        self.thread.join()

    def finish(self):
        """Notes the peak of each process."""
        self.over.set()
        self.thread.join()
        for (entry, pid), peak in self.peaks.items():
            self.fleet.note("memory", entry, pid=pid, mb=round(peak, 1))

    def run(self):
        while not self.over.wait(PERIOD):
            for entry in self.fleet.entries:
                process = self.fleet.processes.get(entry)
                peak = peak_mb(process.pid) if process else None
                if peak is not None:
                    self.peaks[entry, process.pid] = peak

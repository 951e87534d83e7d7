"""Time bounds of the platform's rules, in seconds."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    grace: float = 6.0          # from SIGTERM to SIGKILL
    drain: float = 2.0          # a leaving server may get requests so long
    loss_slack: float = 0.2     # a request may cross a close so long
    stable_window: float = 3.0  # without disturbance, before rules bind
    config_apply: float = 2.0
    evacuate: float = 5.0
    recovery: float = 15.0
    rest_slack: float = 0.5     # Retry-After binds this long after the answer
    rest_requests: int = 2      # that may reach a resting server all the same
    excused_sent: float = 3.0   # after SIGTERM may be cut by the grace
    held_slack: float = 0.5     # beyond the deadline
    held_least: int = 8
    held_share: float = 0.25
    cuts_at_any_time: int = 3   # of each entry, on kept connections
    served_share: float = 0.25  # in the calm phase
    memory_mb: float = 160.0    # of an entry: the smallest machines of sites

    @property
    def last_sixth(self):
        """Begin of the last sixth of the grace, from SIGTERM."""
        return self.grace * 5 / 6

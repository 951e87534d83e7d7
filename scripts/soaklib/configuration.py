"""Configurations that the operator of a soak writes."""

import json

SERVICES = ["quick", "steady", "heavy"]
UNMOVED = "heavy"  # no change of a route concerns it
# Limits of request bodies in bytes; the lower one is in the midst of what
# callers upload.
LARGEST_BODY = 1_048_576
LOWERED_BODY = 20_000


def base_routes():
    return [
        {"name": "quick", "prefix": "/quick/", "kind": "safe",
         "service": "quick", "timeout_ms": 5000},
        {"name": "read", "prefix": "/read/", "kind": "safe",
         "service": "steady", "timeout_ms": 7000},
        {"name": "bulk", "prefix": "/bulk/", "kind": "download",
         "service": "heavy", "timeout_ms": 9000},
        {"name": "book", "prefix": "/book/", "kind": "unsafe",
         "service": "steady", "timeout_ms": 9000},
        {"name": "heavy", "prefix": "/heavy/", "kind": "unsafe",
         "service": "heavy", "timeout_ms": 9000},
        {"name": "put", "prefix": "/put/", "kind": "unsafe",
         "service": "quick", "timeout_ms": 9000},
    ]


class Configuration:
    """The newest configuration and the changes that lead to the next one."""

    def __init__(self, host, routes=None, services=None):
        self.host = host
        self.version = 7
        self.routes = routes or base_routes()
        self.base = len(self.routes)
        self.services = services or SERVICES
        self.body_limit = LARGEST_BODY
        self.retired = []  # routes of the service that was left out
        self.kept = None   # its name

    def change(self, what):
        """Applies a named change; its number decides the direction."""
        self.version += 3
        read = self.routes[1]
        if what == "add":
            self.routes.append(
                {"name": f"new-{self.version}",
                 "prefix": f"/new-{self.version}/", "kind": "safe",
                 "service": "quick", "timeout_ms": 2000})
        elif what == "move":
            read["service"] = ("quick" if read["service"] == "steady"
                               else "steady")
        elif what == "timeout":
            read["timeout_ms"] = 12000 - read["timeout_ms"]
        elif what == "lower":
            self.body_limit = LOWERED_BODY
        elif what == "raise":
            self.body_limit = LARGEST_BODY
        elif what == "retire":
            self.retire(self.services[1], self.services[0])
        elif what == "bring_back":
            self.bring_back()

    def retire(self, service, successor):
        """Leaves a service out; its routes go to another one."""
        self.retired = [route for route in self.routes
                        if route["service"] == service]
        self.services = [s for s in self.services if s != service]
        for route in self.retired:
            route["service"] = successor
        self.kept = service

    def bring_back(self):
        """Undoes the last retirement."""
        self.services = [self.services[0], self.kept, *self.services[1:]]
        for route in self.retired:
            route["service"] = self.kept

    def added(self):
        """Prefixes of the routes that were added."""
        return [r["prefix"] for r in self.routes[self.base:]]

    def timeouts(self):
        """Time limit of each prefix in seconds."""
        return {r["prefix"]: r["timeout_ms"] / 1000 for r in self.routes}

    def fields(self):
        """What the judge needs to know of this version."""
        return {"version": self.version, "timeouts": self.timeouts(),
                "body_limit": self.body_limit,
                "services": {r["prefix"]: r["service"] for r in self.routes}}

    def text(self):
        columns = ["name", "host", "prefix", "kind", "timeout_ms", "service",
                   "max_attempts", "target_latency_ms", "priority"]
        rows = [[r["name"], self.host, r["prefix"], r["kind"],
                 r["timeout_ms"], r["service"], 2, 1000, 1]
                for r in self.routes]
        return json.dumps({
            "version": f"{self.version:08x}",
            "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "health_path", "max_conns"],
                         "rows": [[s, "/health", 1000] for s in self.services]},
            "limits": {"max_header_bytes": 16384, 
                       "max_body_bytes": self.body_limit,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}})

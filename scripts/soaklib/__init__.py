"""Parts of the soak: processes, callers, schedule and judge."""

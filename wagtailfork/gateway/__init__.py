"""The gateway: one process that serves callers on an entry VM."""

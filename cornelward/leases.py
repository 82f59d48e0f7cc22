"""Constant of all leases."""

__all__ = ["LEASE_MARGIN_S"]

# Added wherever somebody waits for the end of another process's lease.
LEASE_MARGIN_S = 0.5

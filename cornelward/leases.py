"""The margin that all lease computations share."""

__all__ = ["LEASE_MARGIN_S"]

# Added to every wait for the end of another process's lease.
LEASE_MARGIN_S = 0.5

"""Who a process is."""

from typing import NamedTuple

__all__ = ["Identity"]


class Identity(NamedTuple):
    """Identity of an entry or scheduler; addresses are "ip:port".

    ``incarnation`` grows from one start of the same id to the next.
    """

    id: str
    incarnation: int
    failure_domain: str
    region: str
    peer_address: str
    http_address: str

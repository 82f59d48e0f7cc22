"""Identity of a process: id, incarnation, location and addresses."""

from typing import NamedTuple

__all__ = ["Identity"]


class Identity(NamedTuple):
    """Identity of an entry or scheduler; addresses are "ip:port".

    ``incarnation`` grows with each start of a process with the same id.
    """

    id: str
    incarnation: int
    failure_domain: str
    region: str
    peer_address: str
    http_address: str

"""The handshake between daemons."""

from typing import Any, NamedTuple


class Handshake(NamedTuple):
    """What a daemon reports about itself in a handshake message and in the answer to one.

    On the wire the fields follow the kind of the message, in this order.
    """

    identity: str
    kind: str  # "accord" or "verge", as on the wire
    zone: str
    address: str  # host:port
    cluster: str | None  # identity of its cluster, or None if it does not know one
    view: Any  # for the bootstrap: the daemons without stored state that it knows of
    clock: float  # its wall clock, in seconds
    control_daemons: Any  # (identity, zone, address) of each control daemon it knows
    bootstrap_members: tuple[str, ...]  # the daemons whose consent is needed to bootstrap the cluster
    level: int  # the highest level of operations that it knows

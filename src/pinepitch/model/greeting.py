"""What daemons tell of themselves when they greet each other."""

from typing import Any, NamedTuple


class Greeting(NamedTuple):
    """What a daemon tells of itself, in a greeting and in the answer to one; on the wire its fields follow
    the kind of the message, in this order.
    """

    identity: str
    kind: str  # "accord" or "verge", as on the wire
    zone: str
    address: str  # host:port
    cluster: str | None  # identity of its cluster, if it knows one
    view: Any  # of the bootstrap: which empty daemons it has heard of
    clock: float  # seconds; its wall clock
    control_daemons: Any  # (identity, zone, address) of each that it knows
    bootstrap_members: tuple[str, ...]  # whose consent the founding of the cluster needs
    level: int  # of the operations that it knows

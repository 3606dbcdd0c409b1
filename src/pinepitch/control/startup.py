"""How a control daemon starts: the plan of its cluster, its data folder, and the identity stored there."""

import secrets
from typing import Any, NamedTuple

from ..consensus.log import packed_step
from ..storage.store import Damaged, Foreign, Store

Opened = tuple[Store, Any, list[Any], dict[int, Any], str | None]


class ClusterPlan(NamedTuple):
    """How a cluster keeps serving after the loss of a number of machines."""

    mode: str  # a quorum mode of consensus.quorum
    voters: int  # target number of members


def cluster_plan_of(machines_lost: int) -> ClusterPlan:
    """The plan that keeps the cluster serving after any `machines_lost` machines are lost at once: a majority
    of 2 n + 1 voters is left after n losses, where n is `machines_lost`.

    If one machine may be lost, the quorum mode is "static": the groups of FlexiRaft's quorums are the zones,
    with the usual three voters. If more may be lost, the mode is "single": each voter is a group of its own,
    as no zone may contain a majority.
    """
    return ClusterPlan("single" if machines_lost > 1 else "static", 2 * machines_lost + 1)


def open_store(folder: str) -> Opened:
    """(store, snapshot base, steps, segments, why it was damaged or None). A damaged store is wiped and
    returned as empty. A store of another file version is left as it is, and OSError is raised.
    """
    store = Store(folder)
    loaded = store.load(packed_step)
    # Foreign is a kind of Damaged: it is checked first, as a damaged store is wiped.
    if isinstance(loaded, Foreign):
        raise OSError(
            f"{loaded.reason}; run the version that wrote it, or give an empty folder to start as a newcomer"
        )
    if isinstance(loaded, Damaged):
        store.wipe()
        return store, None, [], {}, loaded.reason
    return store, loaded.base, loaded.steps, loaded.segments, None


def identity_of(store: Store, base: Any, steps: list[Any]) -> str:
    """The identity of the daemon that owns the store. A store without one gets a new identity, which is
    durable before it is used. In a snapshot base it is the first item; in a step, a list of (kind, payload),
    it is the payload ["identity", identity] of kind "note".
    """
    if base is not None:
        return str(base[0])
    for step in steps:
        for kind, payload in step:
            if kind == "note" and payload[0] == "identity":
                return str(payload[1])
    identity = secrets.token_hex(6)
    store.write_step([["note", ["identity", identity]]])
    return identity

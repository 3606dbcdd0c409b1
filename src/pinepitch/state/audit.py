"""The audit: whether what the state keeps step by step still equals what follows from the rest."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .cluster_state import ClusterState

DERIVED = (  # the attributes of ClusterState that are built by its derive()
    "reserved",
    "used_units",
    "outstanding_credits",
    "waiting_counts",
    "unplaceable",
    "ready_units",
    "slots",
    "live_counts",
    "unfinished_predecessors",
    "unfinished_counts",
    "yielding",
)


def audit(state: "ClusterState") -> None:
    """Builds what is derived anew; AssertionError unless it equals what was kept."""
    kept = {name: getattr(state, name) for name in DERIVED}
    state.derive()
    for name, before in kept.items():
        after = _without_empty(getattr(state, name))
        if _without_empty(before) != after:
            raise AssertionError(f"{name} has drifted: {_without_empty(before)!r} is not {after!r}")


def _without_empty(derived: dict[Any, Any]) -> dict[Any, Any]:
    """A derived map without its empty entries."""
    result = {}
    for key, value in derived.items():
        value = _without_empty(value) if isinstance(value, dict) else value
        if value not in (0, {}) or value is None:
            result[key] = value
    return result

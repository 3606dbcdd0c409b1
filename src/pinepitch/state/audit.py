"""The audit: compares the incrementally updated attributes of the state with their recomputed values."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .cluster_state import ClusterState

DERIVED = (  # the attributes that derive() rebuilds and that operations update incrementally
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
    """Rebuilds the derived attributes; raises AssertionError if one differs from its earlier value.

    The state keeps the rebuilt values.
    """
    incremental = {name: getattr(state, name) for name in DERIVED}
    state.derive()
    for name, before in incremental.items():
        after = _without_empty(getattr(state, name))
        if _without_empty(before) != after:
            raise AssertionError(f"{name} has drifted: {_without_empty(before)!r} is not {after!r}")


def _without_empty(derived: dict[Any, Any]) -> dict[Any, Any]:
    """A derived map without the entries whose value is zero or an empty map.

    Incremental updates may leave such entries where derive() creates none; both mean the same.
    """
    result = {}
    for key, value in derived.items():
        value = _without_empty(value) if isinstance(value, dict) else value
        if value not in (0, {}) or value is None:
            result[key] = value
    return result

"""The text of `pinepitch cluster`: leader and start of its term, tolerated losses, members, daemons."""

from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from .text_tables import flat


def cluster_text(document: Mapping[str, Any]) -> str:
    """The answer of GET /v1/cohort as text, without fields that the leader of an earlier version omits."""
    other_fields = {key: value for key, value in document.items() if key not in ("leads_since", "may_lose")}
    lines = []
    if "leads_since" in document:
        lines.append(_leadership(document))
    if "may_lose" in document:
        lines.extend(_tolerance(document["may_lose"]))
    return "\n".join([*lines, flat(other_fields)])


def _leadership(document: Mapping[str, Any]) -> str:
    since, now = document["leads_since"], document["time"]
    return (
        f"{document['leader']} leads term {document['term']} for {max(0.0, now - since):.1f} s, since "
        f"{since:.3f} on the cluster's clock (time of day by that clock: {_time_of_day(since)})"
    )


def _time_of_day(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _tolerance(may_lose: Mapping[str, Any]) -> list[str]:
    machines = may_lose["machines"]
    if machines < 0:
        lines = ["can't commit and elect now, even without another loss"]
    else:
        zone = "any one zone too" if may_lose["zone"] else "not any zone as a whole"
        lines = [f"may lose {machines} more control machines now; {zone}"]
    return [*lines, *(f"  in the way: {obstacle}" for obstacle in may_lose["obstacles"])]

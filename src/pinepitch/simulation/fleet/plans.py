"""Deployments that a fleet of processes is started by."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from .. import stand_in_client


class Plan(NamedTuple):
    """A deployment. Invariants: control daemons, front daemons and workers name zones of the plan."""

    control_daemons: tuple[str, ...]  # zones, one a control daemon
    fronts: tuple[str, ...]  # zones, one a front daemon
    workers: tuple[
        tuple[str, int, int, tuple[str, ...], bool], ...
    ]  # (prefix, count, capacity, labels, guards)
    zones: tuple[str, ...]
    traffic: tuple[Any, ...]  # as a stand-in client takes it
    queue_configuration: dict[str, Any]
    founders: int


def _queue_settings(share: int, limit: int, **more: Any) -> dict[str, Any]:
    return {"share": share, "limit": limit, **more}


Headers = Iterable[tuple[str, str]]
History = Iterable[tuple[Any, ...]]  # events, each with its kind in the first place
PLANS = {
    "small": Plan(
        ("a", "b", "c"),
        ("a", "b"),
        (("m", 2, 8, (), True),),
        ("a", "b", "c"),
        (
            (
                "job",
                2.0,
                {"queue": "default", "urgency": 4, "count": 3, "shape": "chain", "units": 1, "seconds": 0.1},
            ),
        ),
        {"queues": {"default": _queue_settings(16, 16, retries=3)}},
        3,
    ),
    "nkansah": Plan(
        ("z1", "z1", "z2", "z3", "z4"),
        ("z1", "z1", "z2", "z2", "z3", "z3", "z4"),
        (("lamp", 20, 8, (), True), ("image", 8, 4, ("graphics",), True)),
        ("z1", "z2", "z3", "z4"),
        stand_in_client.NKANSAH,
        {
            "queues": {
                "field": _queue_settings(80, 160, urgency=6, retries=5, preempts=True, yields=False),
                "planning": _queue_settings(30, 100, urgency=2, retries=5),
                "feeds": _queue_settings(50, 120, urgency=7, retries=5, yields=False),
                "imaging": _queue_settings(32, 32, urgency=4, retries=5),
            }
        },
        5,
    ),
    "pinturas": Plan(
        ("p1", "p2", "p3"),
        ("p1", "p1", "p2", "p2", "p3", "p3"),
        (("mix", 33, 4, (), False),),
        ("p1", "p2", "p3"),
        stand_in_client.PINTURAS,
        {
            "queues": {
                "counter": _queue_settings(66, 132, urgency=7, retries=5, preempts=True, yields=False),
                "planning": _queue_settings(33, 100, urgency=2, retries=5),
                "lab": _queue_settings(33, 100, urgency=3, retries=5),
            }
        },
        3,
    ),
}

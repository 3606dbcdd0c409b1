"""The registry of the trials of second losses.

The order is part of what is compared: seeds are drawn by a trial's place.
"""

from .injected_faults import injected
from .planned_stops import (
    leader_stops,
    leader_stops_partitioned,
    only_copy_leaves,
    rolling_restart,
    seat_handed_on,
)
from .replacements import (
    newcomer_partitioned,
    replaced_in_other_zone,
    replaced_in_time,
    replacement_replaced,
    spare_lost_too,
    wiped_twice,
    zone_lost_beside,
)
from .strikes import change_struck, founding_struck, snapshot_struck

# The registry of trials.
TRIALS = {
    "leader-stops": leader_stops,
    "leader-stops-cut-off": leader_stops_partitioned,
    "seat-handed-on": seat_handed_on,
    "rolling-restart": rolling_restart,
    "replaced-in-time": replaced_in_time,
    "replaced-elsewhere": replaced_in_other_zone,
    "replacement-replaced": replacement_replaced,
    "newcomer-cut-off": newcomer_partitioned,
    "spare-lost-too": spare_lost_too,
    "area-lost-beside": zone_lost_beside,
    "wiped-twice": wiped_twice,
    "change-struck": change_struck,
    "snapshot-struck": snapshot_struck,
    "founding-struck": founding_struck,
    "only-copy-leaves": only_copy_leaves,
}


def run(name: str, seed: int, injected_fault: str = "") -> list[str]:
    """The faults of one trial, with an injected fault if one is named."""
    with injected(injected_fault):
        try:
            return TRIALS[name](seed).faults
        except AssertionError as broken:
            return [f"ended by: {broken}"]

"""The registry of the second-loss trials.

The order must not change: comparisons of histories choose seeds by a trial's position.
"""

from .injected_faults import injected
from .planned_stops import (
    leader_stops,
    leader_stops_partitioned,
    only_copy_stops,
    rolling_restart,
    voter_replaced_before_stop,
)
from .replacements import (
    newcomer_partitioned,
    replaced_in_other_zone,
    replaced_in_time,
    replacement_replaced,
    spare_lost_too,
    wiped_twice,
    zone_lost_during_replacement,
)
from .strikes import loss_during_bootstrap, loss_during_membership_change, loss_during_snapshot

# Names of trials and their functions.
TRIALS = {
    "leader-stops": leader_stops,
    "leader-stops-cut-off": leader_stops_partitioned,
    "seat-handed-on": voter_replaced_before_stop,
    "rolling-restart": rolling_restart,
    "replaced-in-time": replaced_in_time,
    "replaced-elsewhere": replaced_in_other_zone,
    "replacement-replaced": replacement_replaced,
    "newcomer-cut-off": newcomer_partitioned,
    "spare-lost-too": spare_lost_too,
    "area-lost-beside": zone_lost_during_replacement,
    "wiped-twice": wiped_twice,
    "change-struck": loss_during_membership_change,
    "snapshot-struck": loss_during_snapshot,
    "founding-struck": loss_during_bootstrap,
    "only-copy-leaves": only_copy_stops,
}


def run(name: str, seed: int, injected_fault: str = "") -> list[str]:
    """Returns the faults of one trial, run with the named injected fault, if any."""
    with injected(injected_fault):
        try:
            return TRIALS[name](seed).faults
        except AssertionError as error:
            return [f"ended by: {error}"]

"""The registry of the fault scenarios of control daemons. Each is a function of the simulator.

The order must not change: the seeds of trials depend on the index of a scenario.
"""

from .losses import herd_killed, killed_after_acknowledgement, wiped_after_acknowledgement, zone_lost
from .lost_answers import acknowledgements_lost, connections_reset
from .machines import clocks_stepped, control_frozen, disks_bad, machines_slow, settings_changed
from .mixed import mixed
from .partitions import (
    control_partitioned,
    control_partitioned_restart,
    control_partitioned_seeds,
    zone_partitioned,
)
from .repairs import loss_during_repair, many_changes, replacement_chain, replacement_planned, wiped_in_turn

CONTROL_SCENARIOS = {
    "control-cut": control_partitioned,
    "control-cut-seeds": control_partitioned_seeds,
    "control-cut-restart": control_partitioned_restart,
    "zone-cut": zone_partitioned,
    "acknowledgements-lost": acknowledgements_lost,
    "connections-reset": connections_reset,
    "killed-after-promise": killed_after_acknowledgement,
    "wiped-after-promise": wiped_after_acknowledgement,
    "herd-killed": herd_killed,
    "zone-lost": zone_lost,
    "disks-bad": disks_bad,
    "machines-slow": machines_slow,
    "control-frozen": control_frozen,
    "clocks-stepped": clocks_stepped,
    "settings-changed": settings_changed,
    "loss-during-repair": loss_during_repair,
    "replacement-chain": replacement_chain,
    "replacement-planned": replacement_planned,
    "wiped-in-turn": wiped_in_turn,
    "many-changes": many_changes,
    "mixed": mixed,
}

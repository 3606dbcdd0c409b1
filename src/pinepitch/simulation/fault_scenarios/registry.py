"""The registry of the fault scenarios of pushed jobs. Each is a function of (simulator, operator).

The order is part of a trial's identity: seeds are drawn by a scenario's place.
"""

from .disks_and_clocks import clock_outage, clocks, disks, full
from .load import crowds, crowds_ten, impossible, scattered
from .members import final, forgotten, replaced, wiped
from .mixed import storm
from .network import foul, partitions, zones_fall
from .operators import large_queue_configuration, operators, queue_configuration_storm
from .processes import calm, freezes, fronts_restart, kills, leaders_fall, outage, power
from .workers import cancel_during_partition, crashes, failing, withdrawn, workers_fail

# The registry of fault scenarios.
FAULT_SCENARIOS = {
    "calm": calm,
    "kills": kills,
    "leaders-fall": leaders_fall,
    "cuts": partitions,
    "areas-fall": zones_fall,
    "freezes": freezes,
    "clocks": clocks,
    "disks": disks,
    "wiped": wiped,
    "replaced": replaced,
    "outage": outage,
    "power": power,
    "forgotten": forgotten,
    "failing": failing,
    "minions-fail": workers_fail,
    "crashes": crashes,
    "withdrawn": withdrawn,
    "crowds": crowds,
    "scattered": scattered,
    "operators": operators,
    "verges-restart": fronts_restart,
    "foul": foul,
    "storm": storm,
    "full": full,
    "clock-outage": clock_outage,
    "impossible": impossible,
    "setup-storm": queue_configuration_storm,
    "large-setup": large_queue_configuration,
    "crowds-ten": crowds_ten,
    "final": final,
    "cancel-cut": cancel_during_partition,
}

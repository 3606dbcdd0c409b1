"""Injected faults of the control daemons. Each must be found by a fault scenario of the control daemons."""

from ...common import constants
from ...consensus.cluster_clock import ClusterClock
from ...consensus.quorum import Membership
from ...control.membership_changes import MembershipChanges
from ...scheduling.configuration import Configuration
from ...scheduling.leased_job_state import LeasedJobState
from ..simulator import Simulator


def _saved_early(self, node, sequence, change):
    """Reports a save as durable before it is."""
    original_save(self, node, sequence, change)
    self.at(0.0, "give", node.name, node.incarnation, ("saved", sequence))


def _durable_when_full(self, node, what, job, incarnation):
    """Reports a save as durable although the disk is full and stored none of it."""
    return node.disk.full or original_durable(self, node, what, job, incarnation)


def _forget_replacements(self, *change):
    """Forgets which change made each version, so that a change sent again is not recognized."""
    self.digests_by_version.clear()
    return original_take(self, *change)


def _forget_amendments(self, *change):
    self.digests_by_version.clear()
    return original_amend(self, *change)


def _own_clock(self, now, agreed=0.0, needed=1):
    """Takes the time of day from the machine's own clock instead of the agreed one."""
    offset, _ = next(iter(self.readings.values()))
    return now + offset


def _no_admission(self, identity, zone_name, members, *rest):
    """Admits no new member once the cluster has as many members as wanted."""
    return (
        None
        if len(members) >= self.daemon.voters
        else original_admission(self, identity, zone_name, members, *rest)
    )


def _restore_as_evacuation(self, now, zone, begun, *rest):
    """Handles the end of an evacuation as its beginning."""
    return original_evacuate(self, now, zone, True, *rest)


original_save, original_durable = Simulator._save, Simulator._durable
original_take, original_amend = Configuration.replace, Configuration.amend
original_admission, original_evacuate = MembershipChanges._admission, LeasedJobState.evacuate
CONTROL_INJECTED_FAULTS = {
    "committed-alone": [(Membership, "commits", lambda self, identities, leader: leader in identities)],
    "saved-early": [(Simulator, "_save", _saved_early)],
    "durable-when-full": [(Simulator, "_durable", _durable_when_full)],
    "versions-forgotten": [
        (Configuration, "replace", _forget_replacements),
        (Configuration, "amend", _forget_amendments),
    ],
    "clock-of-its-own": [(ClusterClock, "read", _own_clock)],
    "never-admitted": [(MembershipChanges, "_admission", _no_admission)],
    "elections-slow": [(constants, "ELECTION_TIMEOUT", 15.0), (constants, "CHECK_QUORUM", 15.0)],
    "evacuation-endless": [(LeasedJobState, "evacuate", _restore_as_evacuation)],
}

"""Injected faults of the control daemons: each must be found by a fault scenario of theirs."""

from ...common import constants
from ...consensus.cluster_clock import ClusterClock
from ...consensus.quorum import Membership
from ...control.membership_changes import MembershipChanges
from ...scheduling.configuration import Configuration
from ...scheduling.leased_job_state import LeasedJobState
from ..simulator import Simulator


def _saved_early(self, node, sequence, change):
    """Says that a save is durable before it is."""
    original_save(self, node, sequence, change)
    self.at(0.0, "give", node.name, node.incarnation, ("saved", sequence))


def _durable_when_full(self, node, what, job, incarnation):
    """Says that a save is durable though the disk took nothing of it."""
    return node.disk.full or original_durable(self, node, what, job, incarnation)


def _sent_again_unknown(self, *change):
    """Forgets which call brought a version."""
    self.digests_by_version.clear()
    return original_take(self, *change)


def _amended_again_unknown(self, *change):
    self.digests_by_version.clear()
    return original_amend(self, *change)


def _own_clock(self, now, agreed=0.0, needed=1):
    """Takes the time of day from the machine's own clock."""
    offset, _ = next(iter(self.readings.values()))
    return now + offset


def _no_admission(self, identity, zone_name, members, *rest):
    """Never lets a newcomer in once the cluster is whole."""
    return (
        None
        if len(members) >= self.daemon.voters
        else original_admission(self, identity, zone_name, members, *rest)
    )


def _begun_again(self, now, zone, begun, *rest):
    """Takes the end of an evacuation for its beginning."""
    return original_evacuate(self, now, zone, True, *rest)


original_save, original_durable = Simulator._save, Simulator._durable
original_take, original_amend = Configuration.replace, Configuration.amend
original_admission, original_evacuate = MembershipChanges._admission, LeasedJobState.evacuate
CONTROL_INJECTED_FAULTS = {
    "committed-alone": [(Membership, "commits", lambda self, identities, leader: leader in identities)],
    "saved-early": [(Simulator, "_save", _saved_early)],
    "durable-when-full": [(Simulator, "_durable", _durable_when_full)],
    "versions-forgotten": [
        (Configuration, "replace", _sent_again_unknown),
        (Configuration, "amend", _amended_again_unknown),
    ],
    "clock-of-its-own": [(ClusterClock, "read", _own_clock)],
    "never-admitted": [(MembershipChanges, "_admission", _no_admission)],
    "elections-slow": [(constants, "ELECTION_TIMEOUT", 15.0), (constants, "CHECK_QUORUM", 15.0)],
    "evacuation-endless": [(LeasedJobState, "evacuate", _begun_again)],
}

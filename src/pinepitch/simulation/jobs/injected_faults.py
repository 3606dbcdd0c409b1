"""Injected faults: each must be found by a check of the simulated fleet that runs jobs."""

import contextlib
import itertools
from unittest import mock

from ...common import constants
from ...common.effects import SaveChange
from ...consensus.replica import Consensus
from ...control.forwarded_requests import ForwardedRequests
from ...control.proposals import Proposals
from ...scheduling import assigner
from ...scheduling.assignment_manager import AssignmentManager
from ...scheduling.leased_job_state import LeasedJobState
from ...scheduling.worker import Worker
from ...transport.forwarder import Forwarder
from .. import order_injected_faults
from ..simulator import EFFECTS, Simulator
from .control_injected_faults import CONTROL_INJECTED_FAULTS
from .key_injected_faults import KEY_INJECTED_FAULTS


def _absent_at_once(self, worker, now):
    """Takes what is missing in a heartbeat for a proof, whoever gave the start and however old it is."""
    for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
        if (reference, run) not in worker.running and (reference, run) not in worker.listed_ends:
            if (
                placement.epoch != self.core.epoch
                or not self.leased_jobs.should_run(placement)
                or not self._accepts_starts(worker)
            ):
                self.ends.propose(worker.identity, reference, run, "unsent", "", False)


def _starts_proposed(self, now):
    """Tells starts that are proposed and not yet agreed on."""
    propose = self.core.propose

    def proposed(operation, waiting, when):
        if operation[0] == "job-assign":
            for identity, time, number, group in operation[2]:
                wave = self.leased_jobs.jobs[identity].batches[(time, number)]
                run = max(task.run for task in wave.tasks) + 1
                for index, worker_name in group:
                    task = wave.tasks[index]
                    answer = (
                        wave.reference(index),
                        run if wave.step.gang else task.run + 1,
                        wave.job.spec,
                        task.saved,
                    )
                    self.__dict__.setdefault("told_early", {}).setdefault(worker_name, []).append(answer)
        propose(operation, waiting, when)

    with mock.patch.object(self.core, "propose", proposed):
        original_assign(self, now)
    self.unapplied_runs.clear()


def _orders_early(self, worker, taken, now):
    answer = original_orders(self, worker, taken, now)
    more = self.__dict__.get("told_early", {}).pop(worker.identity, ())
    return {**answer, "start": (*answer["start"], *(one for one in more if one not in answer["start"]))}


def _failures_forgotten(self, now, placement, reference, run, how, saved, heard):
    return original_ended(
        self, now, placement, reference, run, "stopped" if how == "failed" else how, saved, heard
    )


def _always_ready(self, heartbeat, now):
    """Reads no heartbeat that says "draining"."""
    return original_heartbeat(self, {**heartbeat, "state": "ready", "leaves_ms": None}, now)


def _notified_levels_alone(self):
    advertised, members = self.daemon.advertised_levels, self.daemon.consensus.membership.members()
    return min((advertised.get(one, 1) for one in members), default=1)


def _capacity_twice(leased_jobs, workers, now):
    """Gives the capacity of runs that are to end away before they have ended."""
    seats = original_seats(leased_jobs, workers, now)
    for seat in itertools.chain(*seats.values()):
        for placement in leased_jobs.placements.get(seat.identity, {}).values():
            if not leased_jobs.should_run(placement):
                seat.free = tuple(
                    free + capacity for free, capacity in zip(seat.free, placement.resources, strict=False)
                )
    return seats


def _cancel_in_word(self, now, identity):
    return ("cancelled", identity) if identity in self.jobs else ("missing", identity)


def _after_unheeded(self, wave):
    """Takes every step for one without earlier steps."""
    wave.open_predecessors = 0
    original_index(self, wave)


original_assign, original_orders = AssignmentManager._assign, AssignmentManager._heartbeat_answer
original_ended, original_index = LeasedJobState._apply_end, LeasedJobState._update_ready
original_seats, original_heartbeat = assigner.candidate_workers, Worker.take_heartbeat
INJECTED_FAULTS = {
    **CONTROL_INJECTED_FAULTS,
    **KEY_INJECTED_FAULTS,
    # An old heartbeat is stopped by the end that its carried copy bears, too: without both it proves.
    "absence-at-once": [
        (AssignmentManager, "_propose_never_started", _absent_at_once),
        (ForwardedRequests, "_in_time", lambda self, end, now: True),
    ],
    "hold-not-waited-out": [(constants, "LAPSE_MARGIN", -3.5)],
    "lease-ignored": [
        (Consensus, "leased", lambda self, now: self.serving()),
        (constants, "CHECK_QUORUM", 15.0),
    ],
    "copies-told-early": [(Consensus, "flush_sequence", lambda self: self.saved_sequence)],
    "starts-proposed": [
        (AssignmentManager, "_assign", _starts_proposed),
        (AssignmentManager, "_heartbeat_answer", _orders_early),
    ],
    "ends-noted-early": [(Worker, "acknowledged", lambda self: self.last_end_number)],
    "levels-forgotten": [(Proposals, "common_level", _notified_levels_alone)],
    "evacuation-in-word": [(LeasedJobState, "evacuate", lambda self, *order: ("ok",))],
    "failures-forgotten": [(LeasedJobState, "_apply_end", _failures_forgotten)],
    "room-given-early": [(assigner, "candidate_workers", _capacity_twice)],
    "cancel-in-word": [(LeasedJobState, "cancel", _cancel_in_word)],
    "stops-forgotten": [(LeasedJobState, "should_run", lambda self, placement: True)],
    "leaves-are-ends": [(Worker, "leave", lambda self: True)],
    "drain-unseen": [(Worker, "take_heartbeat", _always_ready)],
    "order-unheeded": [(LeasedJobState, "_update_ready", _after_unheeded)],
    "answers-unchecked": [(Forwarder, "waiting", lambda self, token, key: self.calls.get(token))],
    # No fault but a condition under which nothing may break: the log is compacted all the time.
    "frequent-snapshots": [
        (constants, "SNAPSHOT_ENTRIES", 50),
        (constants, "SNAPSHOT_TAIL", 10),
        (constants, "SNAPSHOT_CHUNK", 5_000),
    ],
    **order_injected_faults.INJECTED_FAULTS,
}


@contextlib.contextmanager
def injected(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        stack.enter_context(mock.patch.dict(EFFECTS, {SaveChange: Simulator._save}))
        yield

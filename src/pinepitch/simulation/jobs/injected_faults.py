"""Injected faults of leased jobs. Each breaks a rule in the code under test, and some check of the simulated
fleet must find it.
"""

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
from ...scheduling.tombstones import Tombstones
from ...scheduling.worker import Worker
from ...transport.forwarder import Forwarder
from .. import order_injected_faults
from ..simulator import EFFECTS, Simulator
from .control_injected_faults import CONTROL_INJECTED_FAULTS
from .key_injected_faults import KEY_INJECTED_FAULTS


def _unlisted_means_never_started(self, worker, now):
    """Takes a run that is missing in a heartbeat as never started, whichever leader sent its start and
    however old the heartbeat is.
    """
    for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
        if (reference, run) not in worker.running and (reference, run) not in worker.listed_ends:
            if (
                placement.epoch != self.core.epoch
                or not self.leased_jobs.should_run(placement)
                or not self._accepts_starts(worker)
            ):
                self.ends.propose(worker.identity, reference, run, "unsent", "", False)


def _lacking_by_any_list(self, keys):
    """Takes runs as neither active nor ended if a heartbeat does not name them, however many ends wait."""
    return [key for key in keys if key not in self.running and key not in self.listed_ends]


def _send_proposed_starts(self, now):
    """Sends workers starts that are proposed but not yet committed."""
    propose = self.core.propose

    def proposed(operation, waiting, when):
        if operation[0] == "job-assign":
            for identity, time, number, group in operation[2]:
                batch = self.leased_jobs.jobs[identity].batch(time, number)
                run = max(task.run for task in batch.tasks) + 1
                for index, worker_name in group:
                    task = batch.tasks[index]
                    start = (
                        batch.reference(index),
                        run if batch.step.gang else task.run + 1,
                        batch.job.spec,
                        task.saved,
                    )
                    self.__dict__.setdefault("early_starts", {}).setdefault(worker_name, []).append(start)
        propose(operation, waiting, when)

    with mock.patch.object(self.core, "propose", proposed):
        original_assign(self, now)
    self.unapplied_runs.clear()


def _answer_with_early_starts(self, worker, received_by, received_at, now):
    answer = original_answer(self, worker, received_by, received_at, now)
    early_starts = self.__dict__.get("early_starts", {}).pop(worker.identity, ())
    return {
        **answer,
        "start": (*answer["start"], *(start for start in early_starts if start not in answer["start"])),
    }


def _failures_as_stops(self, now, placement, reference, run, how, saved, received):
    return original_ended(
        self, now, placement, reference, run, "stopped" if how == "failed" else how, saved, received
    )


def _always_ready(self, heartbeat, now):
    """Takes every heartbeat as if its worker were ready, also one that reports "draining"."""
    return original_heartbeat(self, {**heartbeat, "state": "ready", "leaves_ms": None}, now)


def _level_of_known_members(self):
    levels, members = self.daemon.advertised_levels, self.daemon.consensus.membership.members()
    return min((levels.get(member, 1) for member in members), default=1)


def _capacity_twice(leased_jobs, workers, evidence, now):
    """Offers the capacity of runs that are to be stopped before they have ended."""
    slots = original_candidates(leased_jobs, workers, evidence, now)
    for slot in itertools.chain(*slots.values()):
        for placement in leased_jobs.placements.get(slot.identity, {}).values():
            if not leased_jobs.should_run(placement):
                slot.free = tuple(
                    free + capacity for free, capacity in zip(slot.free, placement.resources, strict=False)
                )
    return slots


def _acknowledge_cancel_only(self, now, identity):
    return ("cancelled", identity) if identity in self.jobs else ("missing", identity)


def _ignore_dependencies(self, batch):
    """Takes every step as one that depends on no other step."""
    batch.open_predecessors = 0
    original_index(self, batch)


def _schedule_all_steps(self, job):
    """Takes every step as one without predecessors."""
    job.next_times = dict.fromkeys(range(len(job.steps)), 0)
    original_schedule(self, job)


original_assign, original_answer = AssignmentManager._assign, AssignmentManager._heartbeat_answer
original_ended, original_index = LeasedJobState._apply_end, LeasedJobState._update_ready
original_schedule = LeasedJobState._schedule_first_steps
original_candidates, original_heartbeat = assigner.candidate_workers, Worker.take_heartbeat
INJECTED_FAULTS = {
    **CONTROL_INJECTED_FAULTS,
    **KEY_INJECTED_FAULTS,
    # Forwarded requests carry a deadline, which also rejects an old heartbeat. Both defences are disabled, so
    # that an old heartbeat counts as proof that a run never started.
    "absence-at-once": [
        (AssignmentManager, "_propose_never_started", _unlisted_means_never_started),
        (ForwardedRequests, "_in_time", lambda self, end, now: True),
    ],
    "every-list-is-whole": [(Worker, "lacking", _lacking_by_any_list)],
    "hold-not-waited-out": [(constants, "LAPSE_MARGIN", -3.5)],
    "lease-ignored": [
        (Consensus, "leased", lambda self, now: self.serving()),
        (constants, "CHECK_QUORUM", 15.0),
    ],
    "copies-told-early": [(Consensus, "flush_sequence", lambda self: self.saved_sequence)],
    "starts-proposed": [
        (AssignmentManager, "_assign", _send_proposed_starts),
        (AssignmentManager, "_heartbeat_answer", _answer_with_early_starts),
    ],
    "ends-noted-early": [(Worker, "acknowledged", lambda self: self.last_end_number)],
    "levels-forgotten": [(Proposals, "common_level", _level_of_known_members)],
    "evacuation-in-word": [(LeasedJobState, "evacuate", lambda self, *order: ("ok",))],
    "failures-forgotten": [(LeasedJobState, "_apply_end", _failures_as_stops)],
    "room-given-early": [(assigner, "candidate_workers", _capacity_twice)],
    "cancel-in-word": [(LeasedJobState, "cancel", _acknowledge_cancel_only)],
    "tombstones-unheeded": [(Tombstones, "stops", lambda self, *submission: False)],
    "tombstones-not-stored": [(Tombstones, "leave", lambda self, now, tombstone: True)],
    "stops-forgotten": [(LeasedJobState, "should_run", lambda self, placement: True)],
    "leaves-are-ends": [(Worker, "leave", lambda self: True)],
    "drain-unseen": [(Worker, "take_heartbeat", _always_ready)],
    "order-unheeded": [
        (LeasedJobState, "_update_ready", _ignore_dependencies),
        (LeasedJobState, "_schedule_first_steps", _schedule_all_steps),
    ],
    "answers-unchecked": [(Forwarder, "waiting", lambda self, token, key: self.calls.get(token))],
    # Not a fault, but a condition under which no check may fail: the log is compacted all the time.
    "frequent-snapshots": [
        (constants, "SNAPSHOT_ENTRIES", 50),
        (constants, "SNAPSHOT_TAIL", 10),
        (constants, "SNAPSHOT_CHUNK", 5_000),
    ],
    # Another such condition: the few workers count as a large fleet, whose heartbeats followers receive.
    "large-fleet": [(constants, "HEARTBEAT_INTERVAL_PER_WORKER", 0.06)],
    **order_injected_faults.INJECTED_FAULTS,
}


@contextlib.contextmanager
def injected(name):
    """Context in which the fault of that name is injected; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        stack.enter_context(mock.patch.dict(EFFECTS, {SaveChange: Simulator._save}))
        yield

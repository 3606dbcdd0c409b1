"""Placement of pushed jobs: which waiting task is placed on which worker, and which runs yield to which
tasks.

The placer is a pure decider: it reads the cluster state and the reported workers and returns proposals. The
cluster state checks each of them again when it is applied.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ..common import constants
from ..model.task import reference, unit_of
from .placement_round import (
    NO_CAPACITY,
    NO_CREDITS,
    QUEUE_LIMIT,
    RESERVED_FOR_OLDER,
    CandidateWorker,
    Charges,
    PlaceItem,
    PlacementRound,
    Shape,
    StartableUnit,
    UnitKey,
)
from .preemption import Preemption, YieldItem

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..model.push_worker import PushWorker
    from ..model.pushed_job import PushedJob
    from ..state.cluster_state import ClusterState

FrontDaemons = list[tuple[str, str]]  # [(identity, zone), ...] of the front daemons with a session

ReadyUnits = dict[Shape, list[tuple[float, int, str]]]  # shape -> (due, number of the job, unit), sorted

SHORTAGE_REASONS = (NO_CAPACITY, NO_CREDITS, QUEUE_LIMIT)  # reasons after which capacity is reserved


class Placer:
    """Invariants: `proposed` contains each reference that is proposed and not yet applied, so that no round
    proposes it twice; `reasons` contains the reason for each shape of which the newest round did not place
    all units; `short_since` contains when each unit was first seen to lack capacity, credits or space under
    its queue's limit.
    """

    def __init__(self) -> None:
        self.proposed: dict[str, tuple[Charges, str, int]] = {}  # reference -> (charges, queue, units)
        self.reasons: dict[tuple[str, Shape], str] = {}
        self.short_since: dict[UnitKey, float] = {}
        self._worker_of: dict[str, str] = {}
        self.front_daemon_turn = 0  # counts up: front daemons send orders in turn

    def run_round(
        self,
        cluster_state: ClusterState,
        workers: dict[str, PushWorker],
        front_daemons: FrontDaemons,
        now: float,
        time: float,
    ) -> tuple[tuple[tuple[Any, ...], ...], tuple[YieldItem, ...]]:
        """Runs one scheduling round and returns (place items, yield items) in the form in which the log
        stores them. `now` is this daemon's clock and `time` the cluster's, both in seconds.
        """
        cluster_state.promote_due_units(time)
        this_round = PlacementRound(*self._candidate_workers(cluster_state, workers, now))
        if not front_daemons:
            return (), ()
        for charges, queue, units in self.proposed.values():
            this_round.count_placed(charges, queue, units)
        items: list[PlaceItem] = []
        self.reasons = {}
        oldest = self._reserve_for_oldest(cluster_state, this_round, now)
        for startable in itertools.chain(oldest, self._startable_units(cluster_state)):
            if len(items) >= constants.MAX_PLACED_TASKS:
                break
            placements = self._fit(cluster_state, startable, this_round, front_daemons)
            if isinstance(placements, str):
                self._left_waiting(startable, placements, now)
            else:
                self._propose(startable, placements)
                items.extend(placements)
        preemption = Preemption(cluster_state, this_round, self.reasons, self.proposed)
        return tuple(map(tuple, items)), tuple(preemption.yield_items(time))

    def _left_waiting(self, startable: StartableUnit, reason: str, now: float) -> None:
        self.reasons[startable.shape] = reason
        if reason in SHORTAGE_REASONS:
            self.short_since.setdefault(startable.key, now)
        else:
            self.short_since.pop(startable.key, None)

    def _propose(self, startable: StartableUnit, placements: list[PlaceItem]) -> None:
        self.short_since.pop(startable.key, None)
        job = startable.job
        for item in placements:
            name = item.reference.partition("/")[2]
            self.proposed[item.reference] = (item.charges, job.queue, job.tasks[name].units)

    def reason(self, cluster_state: ClusterState, job: PushedJob, name: str) -> str:
        """Why a startable task was not placed by the newest round."""
        slot = cluster_state.slots.get((job.identity, unit_of(job.tasks[name])))
        return self.reasons.get((slot[1], slot[3]), "not yet looked at") if slot else "its gang is not ready"

    # --- reservations -----------------------------------------------------------------
    def _reserve_for_oldest(
        self, cluster_state: ClusterState, this_round: PlacementRound, now: float
    ) -> list[StartableUnit]:
        """Reserves capacity, credits and space under the limit for one unit of each queue: the one that has
        been short the longest, and long enough. The capacity is reserved on the workers where the unit will
        fit first. Other units can still use what is not reserved, which does not delay the unit.
        """
        self.short_since = {
            key: since for key, since in self.short_since.items() if key in cluster_state.slots
        }
        oldest = []
        for key, since in sorted(self.short_since.items(), key=lambda item: (item[1], item[0])):
            identity, unit = key
            begins, queue, _, shape, _ = cluster_state.slots[key]
            job = cluster_state.pushed_jobs[identity]
            names = cluster_state.members(job, unit)
            if queue in this_round.reserved_in_queues or begins > cluster_state.promoted_until:
                continue
            if reference(identity, names[0]) in self.proposed:
                continue
            if now - since < _reservation_delay(cluster_state, job, unit, names):
                continue
            units_by_worker = this_round.find_reservation(job, names)
            if units_by_worker is not None:
                this_round.reserved_in_queues[queue] = (sum(job.tasks[name].units for name in names), key)
                this_round.reserved_on_workers.update(
                    {worker: (units, key) for worker, units in units_by_worker.items()}
                )
                oldest.append(StartableUnit(job, unit, names, (queue, shape)))
        return oldest

    # --- workers and units ------------------------------------------------------------
    def _candidate_workers(
        self, cluster_state: ClusterState, workers: dict[str, PushWorker], now: float
    ) -> tuple[list[CandidateWorker], dict[str, int]]:
        """Workers that may get tasks, and the free units of each: its capacity less every reservation in the
        cluster state and every proposed one.
        """
        candidates, free = [], {}
        pending = self._proposed_units()
        for name in sorted(workers):
            worker = workers[name]
            report = worker.report
            if worker.unresponsive(now) or cluster_state.closed_reason(name, report.zone):
                continue
            taken = sum(cluster_state.reserved.get(name, {}).values()) + pending.get(name, 0)
            poor = worker.is_unreliable()
            if poor and (
                _has_batch_task(cluster_state, name)
                or name in pending
                or now - worker.last_trial_at < constants.TRIAL_EVERY
            ):
                continue
            free[name] = report.capacity - taken
            labels = frozenset(report.labels)
            candidates.append(
                CandidateWorker(
                    name, report.zone, report.capacity, labels, report.incarnation, poor, report.address
                )
            )
        return candidates, free

    def _proposed_units(self) -> dict[str | None, int]:
        """Worker -> units that are proposed there and not yet applied."""
        pending: dict[str | None, int] = {}
        for ref, (_, _, units) in self.proposed.items():
            worker = self._worker_of.get(ref)
            pending[worker] = pending.get(worker, 0) + units
        return pending

    def _startable_units(self, cluster_state: ClusterState) -> Iterator[StartableUnit]:
        """Units that could start now: the most urgent first, then queues by how little of their share they
        use, and within a queue by due. Once a unit of a shape did not fit, the rest of that shape is skipped.
        """
        levels_in_order: list[tuple[int, float, str, ReadyUnits]] = []
        for queue, levels in cluster_state.ready_units.items():
            queue_settings = cluster_state.queue_settings.get(queue)
            if queue_settings is None:
                continue
            load = cluster_state.used_units.get(queue, 0) / max(1, queue_settings.share)
            levels_in_order.extend((-urgency, load, queue, shapes) for urgency, shapes in levels.items())
        levels_in_order.sort(key=lambda head: head[:3])
        for _, _, queue, shapes in levels_in_order:
            yield from self._startable_units_of(cluster_state, queue, shapes)

    def _startable_units_of(
        self, cluster_state: ClusterState, queue: str, shapes: ReadyUnits
    ) -> Iterator[StartableUnit]:
        """The units of one queue and urgency by due, merged from the lists of their shapes."""
        cursors = [(entries[0], shape, 0) for shape, entries in shapes.items()]
        heapq.heapify(cursors)
        while cursors:
            entry, shape, position = cursors[0]
            if (queue, shape) in self.reasons:
                heapq.heappop(cursors)
                continue
            if position + 1 < len(shapes[shape]):
                heapq.heapreplace(cursors, (shapes[shape][position + 1], shape, position + 1))
            else:
                heapq.heappop(cursors)
            _, number, unit = entry
            job = cluster_state.pushed_jobs[f"t{number}"]
            names = cluster_state.members(job, unit)
            if reference(job.identity, names[0]) not in self.proposed:
                yield StartableUnit(job, unit, names, (queue, shape))

    # --- fitting ----------------------------------------------------------------------
    def _fit(
        self,
        cluster_state: ClusterState,
        startable: StartableUnit,
        this_round: PlacementRound,
        front_daemons: FrontDaemons,
    ) -> list[PlaceItem] | str:
        """The place items for all tasks of a unit, which are then counted in the round, or the reason why it
        does not fit.
        """
        job, queue = startable.job, startable.job.queue
        units = sum(job.tasks[name].units for name in startable.names)
        reserved = this_round.reserved_for_others(this_round.reserved_in_queues, queue, startable)
        used = cluster_state.used_units.get(queue, 0) + this_round.used.get(queue, 0)
        if used + units > cluster_state.queue_settings[queue].limit - reserved:
            return RESERVED_FOR_OLDER if reserved else QUEUE_LIMIT
        taken: dict[str, int] = {}
        lent: dict[str, int] = {}
        placements = []
        for name in startable.largest_first():
            task = job.tasks[name]
            charges = this_round.charges(cluster_state, job, task.units, lent, reserved)
            if charges is None:
                return RESERVED_FOR_OLDER if reserved else NO_CREDITS
            candidate = this_round.choose_worker(task, startable, taken)
            if isinstance(candidate, str):
                return candidate
            taken[candidate.worker] = taken.get(candidate.worker, 0) + task.units
            placements.append(
                self._place_item(reference(job.identity, name), candidate, charges, front_daemons)
            )
        for worker, units_taken in taken.items():
            this_round.free[worker] -= units_taken
        this_round.count_placed(lent.items(), queue, units)
        for item in placements:
            self._worker_of[item.reference] = item.worker
        return placements

    def _place_item(
        self, ref: str, candidate: CandidateWorker, charges: Charges, front_daemons: FrontDaemons
    ) -> PlaceItem:
        """The place item of a task on a worker. Front daemons of the worker's zone take turns to send orders,
        or all front daemons if the zone has none.
        """
        self.front_daemon_turn += 1
        senders = [identity for identity, zone in front_daemons if zone == candidate.zone] or [
            identity for identity, _ in front_daemons
        ]
        front_daemon = senders[self.front_daemon_turn % len(senders)]
        return PlaceItem(
            ref,
            candidate.worker,
            candidate.zone,
            candidate.capacity,
            candidate.incarnation,
            front_daemon,
            charges,
            candidate.address,
        )

    def forget_proposed(self, references: Iterable[str]) -> None:
        """Forgets proposed items that were applied or lost with their leader."""
        for ref in references:
            self.proposed.pop(ref, None)
            self._worker_of.pop(ref, None)


def _has_batch_task(cluster_state: ClusterState, worker: str) -> bool:
    """Whether a task is placed on a worker whose end will show whether the worker still fails. Those of feeds
    do not end by themselves.
    """
    references = cluster_state.reserved.get(worker, {})
    return any(cluster_state.find_known(ref)[0].kind != "feed" for ref in references)


def _reservation_delay(cluster_state: ClusterState, job: PushedJob, unit: str, names: Sequence[str]) -> float:
    """For how many seconds a unit must be short before capacity is reserved for it. The time is shorter for a
    queue that preempts, and for the remaining tasks of a gang of which some run already.
    """
    is_gang = unit[0] == "/"
    partly_running = is_gang and len(names) < sum(task.gang == unit[1:] for task in job.tasks.values())
    if partly_running or cluster_state.queue_settings[job.queue].preempts:
        return constants.PREEMPT_WAIT
    return constants.CAPACITY_RESERVE_AFTER

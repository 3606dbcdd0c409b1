"""Placing: which waiting task goes to which worker, and who yields to whom.

A decider: it reads the cluster state and the workers heard of and returns proposals; the cluster
state checks each again when it is applied.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ..common import constants
from ..model.task import reference, unit_of
from .placement_round import (
    KEPT_FOR_OLDER,
    NO_CAPACITY,
    NO_CREDITS,
    QUEUE_LIMIT,
    Charges,
    PlaceItem,
    Round,
    Seat,
    Shape,
    UnitKey,
    Wanted,
)
from .preemption import Preemption, YieldItem

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..model.push_worker import PushWorker
    from ..model.pushed_job import PushedJob
    from ..state.cluster_state import ClusterState

FrontDaemons = list[tuple[str, str]]  # [(identity, zone), ...] of those with a session

ReadyUnits = dict[Shape, list[tuple[float, int, str]]]  # shape -> (due, number of the job, unit), sorted

SHORT = (NO_CAPACITY, NO_CREDITS, QUEUE_LIMIT)  # what ends in capacity being kept back


class Placer:
    """Invariants: proposed holds each reference proposed and not yet applied, so that no
    round proposes one twice; why holds, for a shape of which the newest round placed not
    all, the reason; short holds when each unit that now lacks capacity, credits or a place
    under its limit was first seen to.
    """

    def __init__(self) -> None:
        self.proposed: dict[str, tuple[Charges, str, int]] = {}  # reference -> (charges, queue, units)
        self.why: dict[tuple[str, Shape], str] = {}
        self.short: dict[UnitKey, float] = {}
        self._worker_of: dict[str, str] = {}
        self.turn = 0  # of the front daemons, which send orders in turn

    def round(
        self,
        cluster_state: ClusterState,
        workers: dict[str, PushWorker],
        front_daemons: FrontDaemons,
        now: float,
        time: float,
    ) -> tuple[tuple[tuple[Any, ...], ...], tuple[YieldItem, ...]]:
        """(place items, yield items) of one round, as the log holds them; `now` is this daemon's clock,
        `time` the cluster's, both in seconds.
        """
        cluster_state.promote_due_units(time)
        this_round = Round(*self._seats(cluster_state, workers, now))
        if not front_daemons:
            return (), ()
        for charges, queue, units in self.proposed.values():
            this_round.count(charges, queue, units)
        items: list[PlaceItem] = []
        self.why = {}
        oldest = self._keep_for_oldest(cluster_state, this_round, now)
        for wanted in itertools.chain(oldest, self._candidates(cluster_state)):
            if len(items) >= constants.MAX_PLACED_TASKS:
                break
            group = self._fit(cluster_state, wanted, this_round, front_daemons)
            if isinstance(group, str):
                self._left_waiting(wanted, group, now)
            else:
                self._propose(wanted, group)
                items.extend(group)
        preemption = Preemption(cluster_state, this_round, self.why, self.proposed)
        return tuple(map(tuple, items)), tuple(preemption.yields(time))

    def _left_waiting(self, wanted: Wanted, why: str, now: float) -> None:
        self.why[wanted.shape] = why
        if why in SHORT:
            self.short.setdefault(wanted.key, now)
        else:
            self.short.pop(wanted.key, None)

    def _propose(self, wanted: Wanted, group: list[PlaceItem]) -> None:
        self.short.pop(wanted.key, None)
        job = wanted.job
        for item in group:
            name = item.reference.partition("/")[2]
            self.proposed[item.reference] = (item.charges, job.queue, job.tasks[name].units)

    def reason(self, cluster_state: ClusterState, job: PushedJob, name: str) -> str:
        """Why a task that could start was not placed by the newest round."""
        slot = cluster_state.slots.get((job.identity, unit_of(job.tasks[name])))
        return self.why.get((slot[1], slot[3]), "not yet looked at") if slot else "its gang is not ready"

    # --- what is kept back ------------------------------------------------------------
    def _keep_for_oldest(self, cluster_state: ClusterState, this_round: Round, now: float) -> list[Wanted]:
        """For the unit of each queue that has been short the longest, and long enough:
        capacity on the workers where it will fit first, and its queue's credits and limit.
        Others still get what is left beside that, which delays it by nothing.
        """
        self.short = {key: since for key, since in self.short.items() if key in cluster_state.slots}
        oldest = []
        for key, since in sorted(self.short.items(), key=lambda one: (one[1], one[0])):
            identity, unit = key
            begins, queue, _, shape, _ = cluster_state.slots[key]
            job = cluster_state.pushed_jobs[identity]
            names = cluster_state.members(job, unit)
            if queue in this_round.kept_of_queues or begins > cluster_state.promoted_until:
                continue
            if reference(identity, names[0]) in self.proposed:
                continue
            if now - since < _patience(cluster_state, job, unit, names):
                continue
            kept_units = this_round.capacity_for(job, names)
            if kept_units is not None:
                this_round.kept_of_queues[queue] = (sum(job.tasks[name].units for name in names), key)
                this_round.kept_on_workers.update(
                    {worker: (units, key) for worker, units in kept_units.items()}
                )
                oldest.append(Wanted(job, unit, names, (queue, shape)))
        return oldest

    # --- workers and units ------------------------------------------------------------
    def _seats(
        self, cluster_state: ClusterState, workers: dict[str, PushWorker], now: float
    ) -> tuple[list[Seat], dict[str, int]]:
        """Workers that may get work, and the units free on each: every reservation in the cluster
        state and every one proposed is taken off.
        """
        seats, free = [], {}
        pending = self._proposed_units()
        for name in sorted(workers):
            worker = workers[name]
            report = worker.report
            if worker.unresponsive(now) or cluster_state.closed(name, report.zone):
                continue
            taken = sum(cluster_state.reserved.get(name, {}).values()) + pending.get(name, 0)
            poor = worker.poor()
            if poor and (taken or now - worker.trial_at < constants.TRIAL_EVERY):
                continue
            free[name] = report.capacity - taken
            labels = frozenset(report.labels)
            seats.append(
                Seat(name, report.zone, report.capacity, labels, report.incarnation, poor, report.address)
            )
        return seats, free

    def _proposed_units(self) -> dict[str | None, int]:
        """Worker -> units proposed there, not yet applied."""
        pending: dict[str | None, int] = {}
        for ref, (_, _, units) in self.proposed.items():
            worker = self._worker_of.get(ref)
            pending[worker] = pending.get(worker, 0) + units
        return pending

    def _candidates(self, cluster_state: ClusterState) -> Iterator[Wanted]:
        """What could start now: most urgent first, queues in turn by how little of their
        share they use, within a queue by due. A shape of which one did not fit is left.
        """
        heads: list[tuple[int, float, str, ReadyUnits]] = []
        for queue, levels in cluster_state.ready_units.items():
            queue_settings = cluster_state.queue_settings.get(queue)
            if queue_settings is None:
                continue
            load = cluster_state.used_units.get(queue, 0) / max(1, queue_settings.share)
            heads.extend((-urgency, load, queue, shapes) for urgency, shapes in levels.items())
        heads.sort(key=lambda one: one[:3])
        for _, _, queue, shapes in heads:
            yield from self._candidates_of(cluster_state, queue, shapes)

    def _candidates_of(self, cluster_state: ClusterState, queue: str, shapes: ReadyUnits) -> Iterator[Wanted]:
        """The units of one queue and urgency by due, merged from the lists of their shapes."""
        cursors = [(entries[0], shape, 0) for shape, entries in shapes.items()]
        heapq.heapify(cursors)
        while cursors:
            entry, shape, place = cursors[0]
            if (queue, shape) in self.why:
                heapq.heappop(cursors)
                continue
            if place + 1 < len(shapes[shape]):
                heapq.heapreplace(cursors, (shapes[shape][place + 1], shape, place + 1))
            else:
                heapq.heappop(cursors)
            _, number, unit = entry
            job = cluster_state.pushed_jobs[f"t{number}"]
            names = cluster_state.members(job, unit)
            if reference(job.identity, names[0]) not in self.proposed:
                yield Wanted(job, unit, names, (queue, shape))

    # --- fitting ----------------------------------------------------------------------
    def _fit(
        self, cluster_state: ClusterState, wanted: Wanted, this_round: Round, front_daemons: FrontDaemons
    ) -> list[PlaceItem] | str:
        """Items for all tasks of a unit, which are counted in the round, or the reason why not."""
        job, queue = wanted.job, wanted.job.queue
        units = sum(job.tasks[name].units for name in wanted.names)
        kept = this_round.kept(this_round.kept_of_queues, queue, wanted)
        used = cluster_state.used_units.get(queue, 0) + this_round.used.get(queue, 0)
        if used + units > cluster_state.queue_settings[queue].limit - kept:
            return KEPT_FOR_OLDER if kept else QUEUE_LIMIT
        taken: dict[str, int] = {}
        lent: dict[str, int] = {}
        group = []
        for name in wanted.largest_first():
            task = job.tasks[name]
            charges = this_round.charges(cluster_state, job, task.units, lent, kept)
            if charges is None:
                return KEPT_FOR_OLDER if kept else NO_CREDITS
            seat = this_round.draw(task, wanted, taken)
            if isinstance(seat, str):
                return seat
            taken[seat.worker] = taken.get(seat.worker, 0) + task.units
            group.append(self._item(reference(job.identity, name), seat, charges, front_daemons))
        for worker, units_taken in taken.items():
            this_round.free[worker] -= units_taken
        this_round.count(lent.items(), queue, units)
        for item in group:
            self._worker_of[item.reference] = item.worker
        return group

    def _item(self, ref: str, seat: Seat, charges: Charges, front_daemons: FrontDaemons) -> PlaceItem:
        """A task on a worker, its order sent by one of the front daemons of the zone in turn."""
        self.turn += 1
        near = [one for one, zone in front_daemons if zone == seat.zone] or [one for one, _ in front_daemons]
        front_daemon = near[self.turn % len(near)]
        return PlaceItem(
            ref,
            seat.worker,
            seat.zone,
            seat.capacity,
            seat.incarnation,
            front_daemon,
            charges,
            seat.address,
        )

    def forget_proposed(self, references: Iterable[str]) -> None:
        """Hears that proposed items were applied or lost with their leader."""
        for ref in references:
            self.proposed.pop(ref, None)
            self._worker_of.pop(ref, None)


def _patience(cluster_state: ClusterState, job: PushedJob, unit: str, names: Sequence[str]) -> float:
    """For how many seconds a unit is short before capacity is kept back for it: less for a queue that
    preempts, and for the rest of a gang of which some run already.
    """
    is_gang = unit[0] == "/"
    apart = is_gang and len(names) < sum(task.gang == unit[1:] for task in job.tasks.values())
    if apart or cluster_state.queue_settings[job.queue].preempts:
        return constants.PREEMPT_WAIT
    return constants.CAPACITY_RESERVE_AFTER

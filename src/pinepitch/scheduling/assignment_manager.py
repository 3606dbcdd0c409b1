"""What the leader does for the board: beats, ends, starts in answers to beats, lapsed holds.

It keeps no promise in memory alone: what it decides goes through the log first.
"""

import collections

from ..common import constants, events
from . import policy as policies
from .assigner import Assigner
from .leases import HoldWatch
from .progress import ProgressWatch
from .run_ends import EndIntake
from .run_speed import Pace
from .worker import Worker


class Keeper:
    """Invariants: empty unless its accord leads; a start is answered only while the lease
    stands, to a beat that is fresh, for a committed placement that is still wanted and whose
    end is not being proposed; an absence proves that a run never started only in a fresh
    beat, of a placement of this leader's own epoch or once older leaders' answers are dead."""

    def __init__(self, core, now, policy=policies.DEFAULT):
        self.core, self.since, self.policy = core, now, policy
        self.workers = {}
        self.parked = {}  # identity -> (reply address, token, taken at) of beats to be answered
        self.look = {}  # of those, whose answer may be due
        self.open = collections.deque()  # (taken at, identity) of beats of idle workers, oldest first
        self.pace = Pace(core.far)
        self.ends = EndIntake(core, self.pace)
        self.holds = HoldWatch(core, now)
        self.assigner = Assigner(self.pace, policy)
        self.progress = ProgressWatch(self.pace, policy)
        self.assigning = 0  # entries that assign and are not yet applied
        self.assigned = {}  # minion -> runs proposed for it
        self.stopping = set()  # (reference, run) whose stop is proposed
        self.flushed = self.looked = self.placed_at = -1e9
        self.due = True
        self.counts = {"beats": 0, "starts": 0, "stops": 0}
        self.end_counts = collections.Counter()  # how a run ended -> runs
        self.stop_counts = collections.Counter()  # why a run is to end -> runs

    @property
    def board(self):
        return self.core.record.board

    # --- beats ------------------------------------------------------------------------
    def beat(self, identity, beat, address, token, now):
        """A worker's beat; it is answered by flush()."""
        self.counts["beats"] += 1
        worker = self.workers.get(identity)
        if worker is None:
            worker = self.workers[identity] = Worker(identity, now)
        if not worker.beat(beat, now):
            self.core.answer(address, token, (200, {}, None))
            return
        older = self.parked.pop(identity, None)
        if older is not None:
            self.core.answer(older[0], older[1], (200, {}, None))
        self.ends.take(worker, beat["ended"])
        self._take_absences(worker, now)
        self.parked[identity] = (address, token, now)
        self.look[identity] = True
        self.due = self.due or worker.news != worker.before

    def leave(self, identity, now):
        """A worker says that it ends now."""
        self.holds.leave(identity, now)

    def _take_absences(self, worker, now):
        """A run neither running nor ended in a fresh beat never started from an earlier answer."""
        if worker.stale or worker.beats < 2:
            return
        for (reference, run), placement in self.board.placements.get(worker.identity, {}).items():
            if (reference, run) in worker.running or (reference, run) in worker.listed:
                continue
            if placement.epoch != self.core.epoch and now - self.since < constants.GATHER:
                continue
            if not self.board.wanted(placement) or not self._open_for(worker):
                self.ends.propose(worker.identity, reference, run, "unsent", "", False)

    def _open_for(self, worker):
        """Whether a worker may be told to start anything."""
        return worker.state == "ready" and worker.zone not in self.board.evacuated

    def _gone(self, identity, why):
        """A worker's life is over: what it ran has ended."""
        worker = self.workers.pop(identity, None)
        parked = self.parked.pop(identity, None)
        if parked is not None:
            self.core.answer(parked[0], parked[1], (200, {}, None))
        for (reference, run), _placement in self.board.placements.get(identity, {}).items():
            saved = worker.running.get((reference, run), ("", 0))[0] if worker else ""
            self.ends.propose(identity, reference, run, "lapsed", saved, False)
        self.core._event(180, minion=identity, why=why)

    # --- answers ----------------------------------------------------------------------
    def flush(self, now):
        """Answers the beats whose ends are agreed on, or that have waited long enough."""
        if not self.parked or not self.core.leased(now):
            return
        while self.open and now - self.open[0][0] >= constants.IDLE_HOLD:
            self.look[self.open.popleft()[1]] = True
        for identity in list(self.look):
            if identity not in self.parked:
                del self.look[identity]
                continue
            worker = self.workers[identity]
            address, token, taken = self.parked[identity]
            if now - taken < constants.BEAT_HOLD and (worker.pending or self.assigned.get(identity)):
                continue
            del self.look[identity]
            if now - taken < constants.IDLE_HOLD and self._idle(worker):
                self.open.append((taken, identity))
                continue
            del self.parked[identity]
            self.core.answer(address, token, (200, self._orders(worker, taken, now), None))

    def _idle(self, worker):
        """Whether nothing can be said to a worker that has nothing to say: where there are many its beat
        stays open, so that a start reaches it at once; what runs nothing has no end to tell meanwhile."""
        return (
            self.policy.hold_idle_heartbeats
            and self._pace() > constants.BEAT_AGAIN
            and worker.state == "ready"
            and not worker.running
            and not worker.listed
            and worker.beats > 1
            and worker.identity not in self.board.placements
        )

    def _orders(self, worker, taken, now):
        """What a worker is told in answer to its newest beat, taken at `taken`."""
        start, stop = (
            [],
            [key for key in worker.running if key not in self.board.placements.get(worker.identity, {})],
        )
        strays = len(stop)
        held = self.board.placements.get(worker.identity, {})
        for (reference, run), placement in held.items():
            wanted = self.board.wanted(placement)
            if (reference, run) in worker.running:
                if not wanted:
                    stop.append((reference, run))
            elif (
                not strays
                and (reference, run) not in worker.listed
                and wanted
                and self._open_for(worker)
                and not worker.stale
                and (worker.identity, reference, run) not in self.ends.proposed
            ):
                wave, task = self.board.task(placement)
                start.append((reference, run, wave.job.spec, task.saved))
                self.core.trace(189, task=reference, run=run, minion=worker.identity)
                self.pace.start(worker.identity, reference, run, self.pace.is_far(wave, worker), now)
        for reference, run in stop[:strays]:
            self.core._event(156, minion=worker.identity, task=reference, run=run)
        worker.held_from = taken
        self.counts["starts"] += len(start)
        self.counts["stops"] += len(stop)
        taken_up = sum(one.room[0] for one in held.values())
        room = worker.state == "ready" and taken_up < worker.room[0]
        return {
            "hold_ms": int(self.core.hold * 1000),
            "seen": worker.acknowledged(),
            "fence": self.core.epoch,
            "start": tuple(start),
            "stop": tuple(stop),
            "home": self.core.address,
            "again_ms": int(1000 * (self._pace() if room or start else constants.BEAT_FULL)),
        }

    def _pace(self):
        """Seconds until a worker with room beats again: more of them beat less often."""
        return min(constants.BEAT_FULL, max(constants.BEAT_AGAIN, len(self.workers) * constants.BEAT_EACH))

    # --- time -------------------------------------------------------------------------
    def tick(self, now):
        """Proposes what was gathered, places, and lets go of what has lapsed."""
        self.flushed = now
        self.ends.flush(now)
        if now - self.looked >= constants.WATCH_EVERY:
            self.looked = now
            self._watch(now)
        rest = constants.ROUND_REST * (len(self.board.ready) + len(self.workers))
        if now - self.placed_at >= (
            rest if self.due and not self.assigning else max(rest, constants.PLACE_IDLE)
        ):
            self._assign(now)

    def _assign(self, now):
        if self.assigning:
            return
        self.due, self.placed_at = False, now
        items, stops = self.assigner.round(self.board, self.workers, self, now, self.core._now(now))
        for violation in self.assigner.violations:
            self.core._event(events.PLACING_VIOLATED, **violation._asdict())
        if items:
            self.assigning += 1
            for _, _, _, group in items:
                for _, minion in group:
                    self.assigned[minion] = self.assigned.get(minion, 0) + 1
            self.core.propose(("job-assign", self.core.epoch, items), None, now)
        self._stop(stops, now)

    def _watch(self, now):
        """Holds that have lapsed, workers that said they end, and those long silent."""
        for identity, why in self.holds.over(self.workers, self.ends, now):
            self._gone(identity, why)
        self.pace.forget(self.board.jobs)
        self._copy_what_may_run_twice(now)
        self._stop(self.progress.look(self.workers, self.board, self.stopping, now), now)
        for minion, reference, run in self.progress.take_misjudged():
            self.core._event(185, minion=minion, task=reference, run=run)
        for identity in [
            one
            for one, worker in self.workers.items()
            if now - worker.heard_at > constants.MINION_FORGOTTEN and one not in self.board.placements
        ]:
            del self.workers[identity]

    def _copy_what_may_run_twice(self, now):
        """What a silent worker runs is let go at once where the step says that a second run does no
        harm; should the first be done before, its late end still counts."""
        for worker in self.workers.values():
            if not worker.silent(now):
                continue
            for (reference, run), placement in self.board.placements.get(worker.identity, {}).items():
                found = self.board.task(placement)
                if (
                    found is not None
                    and found[0].step.twice
                    and not found[0].step.gang
                    and not found[0].step.lasts
                ):
                    saved = worker.running.get((reference, run), ("", 0))[0]
                    self.ends.propose(worker.identity, reference, run, "lapsed", saved, False)

    def _stop(self, stops, now):
        """Proposes that runs end; each is (minion, reference, run, why)."""
        if stops:
            self.stopping.update((reference, run) for _, reference, run, _ in stops)
            for minion, reference, run, why in stops:
                self.stop_counts[why] += 1
                self.core._event(183, minion=minion, task=reference, run=run, why=why)
            self.core.propose(("job-stop", self.core.epoch, stops), None, now)

    # --- what was agreed --------------------------------------------------------------
    def ended(self, index, items, outcomes):
        """An entry of ends was applied."""
        self.due = True
        for (minion, reference, run, how, _, heard), result in zip(items, outcomes, strict=False):
            self.end_counts[how] += 1
            self.stopping.discard((reference, run))
            self.progress.ended(minion, reference, run, how)
            worker = self.workers.get(minion)
            if worker is not None and heard:
                if how in ("done", "failed"):
                    worker.judge(how == "done")
                elif how == "refused" and self.policy.be_wary:
                    worker.wary_until = self.core.step_at + constants.WARY
            self.core._event(155, task=reference, attempt=run, how=how, result=result)
        self.ends.applied(index, items, self.workers)

    def applied_assign(self, items):
        self.due = True
        self.assigning = max(0, self.assigning - 1)
        for _, _, _, group in items:
            for _, minion in group:
                self.look[minion] = True
                left = self.assigned.get(minion, 0) - 1
                if left > 0:
                    self.assigned[minion] = left
                else:
                    self.assigned.pop(minion, None)

"""Rehearsal: recent real traffic replayed through the record and the placing code, with
the table in force and with a draft, under the same seeds; pure, so that it can run apart
from the placing path."""

import heapq
import random

from ..common import constants
from ..model.push_worker import PushWorker, Report
from ..model.queue_settings import objective_of
from ..state.cluster_state import ClusterState
from .placement import Placer

METRICS = ("wait_median", "wait_99", "dues_missed", "failed", "shed", "room_used", "preemptions")
SHARES = ("dues_missed", "failed", "shed", "preemptions")  # told as parts of a queue's tickets


class Work:
    """What the sample tells of each kind of work (queue, units, labels): how long it takes,
    how often it fails and after what time. Invariant: the same draw for the same seed,
    task and attempt, whatever the table."""

    def __init__(self, blocks):
        self.lengths, self.lost, self.tries, self.failures = {}, {}, {}, {}
        for _, _, arrivals in blocks:
            for _, queue, kind, _, _, tasks in arrivals:
                for _, units, labels, _, _, _, _, _, took, failures, lost in tasks:
                    known = (queue, kind, units, tuple(labels))
                    if took is not None:
                        self.lengths.setdefault(known, []).append(took)
                        self.tries[known] = self.tries.get(known, 0) + 1
                    if failures:
                        self.lost.setdefault(known, []).append(lost / failures)
                        self.tries[known] = self.tries.get(known, 0) + failures
                        self.failures[known] = self.failures.get(known, 0) + failures

    def outcome(self, known, took, seed):
        """(seconds, how) of one attempt; a feed that was not seen to end never does."""
        draw = random.Random(seed)
        if draw.random() * self.tries.get(known, 1) < self.failures.get(known, 0):
            return draw.choice(self.lost[known]), "failed"
        if took is None:
            if known[1] == "feed":
                return None, "done"
            took = draw.choice(self.lengths.get(known, (1.0,)))
        return took, "done"


def resampled(blocks, seed):
    """(running at the start, arrivals) of whole blocks drawn anew and put one after another
    until they last REPLAY_LASTS or hold REPLAY_JOBS."""
    draw = random.Random(f"rehearsal-{seed}")
    moment, arrivals, running = 0.0, [], None
    blocks = [block for block in blocks if block[2]]
    while moment < constants.REPLAY_LASTS and len(arrivals) < constants.REPLAY_JOBS:
        length, then, some = draw.choice(blocks)
        running = then if running is None else running
        arrivals.extend((moment + one[0], *one[1:]) for one in some)
        moment += length
    return running, arrivals


class Replay:
    """One table on some rooms in virtual time. Invariants: moments are handled in order of
    (time, number); a round is due while something is ready and nothing else comes first."""

    def __init__(self, queue_configuration, worker_capacities, work, seed=0):
        self.cluster_state, self.placer = ClusterState(), Placer()
        self.cluster_state.apply(
            1, 0.0, ("setup", "rehearsal", None, "whole", queue_configuration, "rehearsal", "")
        )
        self.cluster_state.apply(2, 0.0, ("duty", "placing", "rehearsal"))
        self.workers = {
            name: PushWorker(
                Report(name, zone, "", capacity, tuple(labels), False, "one", 1, 0.0, (), ()), 0.0
            )
            for name, zone, capacity, labels in worker_capacities
        }
        self.work, self.seed = work, seed
        self.index, self.number = 2, 0
        self.moments = []
        self.took = {}  # reference -> seconds it took where seen
        self.names = {}  # ticket -> what tells its draws from others'
        self.dues = {}
        self.starts = []  # (when, reference, attempt, minion)
        self.waits, self.metrics, self.counts = {}, {}, {}
        self.round_at = None

    def at(self, when, *moment):
        self.number += 1
        heapq.heappush(self.moments, (when, self.number, *moment))

    def run(self, arrivals, running=(), lasting=constants.REHEARSAL_LONGEST, pause=None):
        """queue -> figures of a replay of `arrivals`, with `running` under way at its start."""
        for queue, kind, units, labels, count in running:
            task = ("s", units, labels, (), 0.0, "", 0, 0.0, None, 0, 0.0)
            for place in range(count):
                self.arrive(
                    0.0, (0.0, queue, kind, -1, 0.0, (task,)), f"running-{queue}-{units}-{place}", False
                )
        self.look(0.0)
        for place, one in enumerate(arrivals):
            self.at(one[0], "arrive", one, place)
        last = arrivals[-1][0] if arrivals else 0.0
        steps = 0
        while self.moments and self.moments[0][0] <= last + lasting:
            now, _, *moment = heapq.heappop(self.moments)
            self.step(now, *moment)
            steps += 1
            if pause is not None and steps % constants.REPLAY_SLICE == 0:
                pause()
        return self.finish(last + lasting)

    def step(self, now, kind, *what):
        moved = True
        if kind == "arrive":
            self.arrive(now, *what)
        elif kind == "end":
            self.apply(now, ("ended", (what,)))
        elif kind == "round":
            if now != self.round_at:
                return  # one that was overtaken
            self.round_at = None
            moved = self.round(now)
        next_due = self.cluster_state.promote_due_units(now)
        when = None
        if self.cluster_state.ready_units:
            if moved:
                when = now + constants.PLACE_EVERY
            elif self.moments:  # what found no room is tried again when something has happened
                when = max(now + constants.PLACE_EVERY, min(self.moments[0][0], now + 0.5))
        elif next_due is not None:
            when = next_due
        if when is not None and (self.round_at is None or when < self.round_at):
            self.look(when)

    def look(self, when):
        """Has a round at `when`, in the place of any that was due."""
        self.round_at = when
        self.at(when, "round")

    def apply(self, now, operation):
        self.index += 1
        return self.cluster_state.apply(self.index, now, operation)

    def arrive(self, now, one, place, counted=True):
        _, queue, kind, urgency, due, tasks = one
        plain = {
            "queue": queue,
            "kind": kind,
            "urgency": urgency,
            "not_before": 0,
            "due": now + due if due else 0,
            "tasks": [
                {
                    "name": name,
                    "units": units,
                    "labels": labels,
                    "after": after,
                    "gang": gang,
                    "not_before": now + wait if wait else 0,
                    "attempts": asked,
                    "limit": limit,
                    "work": None,
                }
                for name, units, labels, after, wait, gang, asked, limit, _, _, _ in tasks
            ],
        }
        outcome = self.apply(now, ("ticket", f"r{self.number}-{self.index}", "", plain))
        if counted:
            self.counts[queue] = self.counts.get(queue, 0) + 1
            self.metrics.setdefault(queue, dict.fromkeys(METRICS, 0.0))
            self.waits.setdefault(queue, [])
            if outcome[0] != "accepted":
                self.metrics[queue]["shed"] += 1
        if outcome[0] == "accepted":
            self.names[outcome[1]] = (place, counted)
            for name, *_, took, _, _ in tasks:
                self.took[f"{outcome[1]}/{name}"] = took
            if due and counted:
                self.dues[outcome[1]] = now + due

    def round(self, now):
        """One placing round; whether it did anything."""
        for worker in self.workers.values():
            worker.heard_at = now
        items, yields = self.placer.round(self.cluster_state, self.workers, [("verge", "")], now, now)
        if items:
            outcome = self.apply(now, ("place", 1, self.cluster_state.version, items))
            self.placer.forget_proposed([item[0] for item in items])
            for ref, refusal in outcome[1]:
                if not refusal:
                    self.placed(now, ref)
        if yields:
            self.apply(now, ("yield", 1, yields))
            for ref, _attempt, _ in yields:
                found = self.cluster_state.find(ref)
                if ref in self.cluster_state.yielding and found[0].queue in self.metrics:
                    self.metrics[found[0].queue]["preemptions"] += 1
        for ref, attempt in self.cluster_state.yielding.items():  # a stale end changes nothing
            self.at(now + 0.1, "end", ref, attempt, "killed")
        return bool(items or yields)

    def placed(self, now, ref):
        job, task, standing = self.cluster_state.find(ref)
        place, counted = self.names[job.identity]
        seconds, how = self.work.outcome(
            (job.queue, job.kind, task.units, task.labels),
            self.took[ref],
            f"{self.seed}-{place}-{task.name}-{standing.attempt}",
        )
        self.starts.append((now, ref, standing.attempt, standing.worker))
        if not counted and seconds is not None:
            seconds *= random.Random(f"{self.seed}-{place}").random()  # it ran for a part of that already
        if seconds is not None:
            if task.limit and seconds > task.limit:
                seconds, how = task.limit, "failed"
            self.at(now + seconds, "end", ref, standing.attempt, how)
        if counted:
            if standing.attempt == 1:
                self.waits[job.queue].append(max(0.0, now - job.ready_since(task)))
            self.metrics[job.queue]["room_used"] += task.units * (seconds or 0.0)

    def finish(self, end):
        """The figures: waits in seconds, room in unit seconds, the rest as parts of the
        queue's tickets."""
        for job in self.cluster_state.pushed_jobs.values():
            metrics = self.metrics.get(job.queue)
            if metrics is None or not self.names[job.identity][1]:
                continue
            due = self.dues.get(job.identity)
            metrics["dues_missed"] += due is not None and (job.state != "finished" or job.ended_at > due)
            metrics["failed"] += job.state in ("failed", "failing")
            if job.state == "pending":
                self.waits[job.queue].extend(
                    max(0.0, end - max(job.accepted, job.tasks[name].not_before))
                    for name, standing in job.standings.items()
                    if standing.attempt == 0
                )
        for queue, metrics in self.metrics.items():
            found = sorted(self.waits[queue])
            metrics["wait_median"] = found[len(found) // 2] if found else 0.0
            metrics["wait_99"] = found[min(len(found) - 1, len(found) * 99 // 100)] if found else 0.0
            for name in SHARES:
                metrics[name] /= self.counts[queue]
        return self.metrics


def cost(metrics, objective):
    """What the objective makes of a replay: less is better. Each queue counts alike but
    for its weight, however many tickets it has."""
    weights = objective["queues"]
    return sum(
        weights.get(queue, 1.0) * sum(objective[name] * one[name] for name in METRICS)
        for queue, one in metrics.items()
    )


def harm(queue, pairs, needed, guard):
    """What a draft does to one queue beyond the bounds of the guard, in words, or None."""
    for name in ("wait_median", "wait_99", "dues_missed", "failed", "shed"):
        before = [one[name] for one, _ in pairs]
        after = [other[name] for _, other in pairs]
        bound = (guard["factor"], guard["seconds"]) if name.startswith("wait") else (1.0, guard["part"])
        worse = sum(b > a * bound[0] + bound[1] for a, b in zip(before, after, strict=False))
        if worse >= needed:
            return (
                f"{queue}: {name} goes from {sum(before) / len(pairs):.3f} to {sum(after) / len(pairs):.3f}, "
                f"beyond the guard in {worse} of {len(pairs)} replays"
            )
    return None


def measure(blocks, in_force, draft, worker_capacities, pause=None, pairs=constants.REHEARSAL_PAIRS):
    """Replays both tables in pairs under the same seeds and says which is better by the
    objective in force, or that there was too little traffic to tell."""
    count = sum(len(one[2]) for one in blocks)
    nonempty = sum(1 for one in blocks if one[2])
    if count < constants.MIN_TRAFFIC_JOBS or nonempty < constants.TRAFFIC_BLOCKS or not worker_capacities:
        why = (
            "no minion is known"
            if not worker_capacities
            else (
                f"{count} recent tickets in {nonempty} blocks of {constants.SAMPLE_BLOCK:.0f} s, "
                f"{constants.MIN_TRAFFIC_JOBS} in {constants.TRAFFIC_BLOCKS} needed"
            )
        )
        return {"verdict": "not measured", "tickets": count, "why": why, "queues": []}
    objective = objective_of(in_force)
    work = Work(blocks)
    replays = []
    for seed in range(pairs):
        running, arrivals = resampled(blocks, seed)
        replays.append(
            tuple(
                Replay(table, worker_capacities, work, seed).run(arrivals, running, pause=pause)
                for table in (in_force, draft)
            )
        )
    costs = [(cost(before, objective), cost(after, objective)) for before, after in replays]
    means = [sum(one) / pairs for one in zip(*costs, strict=False)]
    least = max(constants.MIN_REHEARSAL_DIFFERENCE * means[0], 1e-9)
    better = sum(after < before - least for before, after in costs)
    worse = sum(after > before + least for before, after in costs)
    needed = max(1, pairs * constants.REHEARSAL_AGREE // constants.REHEARSAL_PAIRS)
    verdict = "better" if better >= needed else "worse" if worse >= needed else "no difference"
    queues, harms = [], []
    for queue in sorted({queue for both in replays for queue in both[0]}):
        seen = [(before[queue], after[queue]) for before, after in replays if queue in before]
        line = {"queue": queue}
        for name in METRICS:
            line[name] = round(sum(before[name] for before, _ in seen) / len(seen), 4)
            line[f"draft_{name}"] = round(sum(after[name] for _, after in seen) / len(seen), 4)
        queues.append(line)
        harmed = harm(queue, seen, max(1, len(seen) * needed // pairs), objective["guard"])
        if harmed:
            harms.append(harmed)
    why = (
        f"cost {means[0]:.3f} in force, {means[1]:.3f} draft; "
        f"lower in {better}, higher in {worse} of {pairs} replays"
    )
    if harms and verdict != "worse":
        verdict = "worse"
        why = "the guard: " + "; ".join(harms)
    return {
        "verdict": verdict,
        "why": why,
        "tickets": count,
        "blocks": nonempty,
        "pairs": pairs,
        "better_in": better,
        "worse_in": worse,
        "cost_in_force": means[0],
        "cost_draft": means[1],
        "harms": harms,
        "queues": queues,
    }

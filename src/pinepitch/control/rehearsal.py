"""Rehearsal: compares a draft with the active table in replays of recent traffic under the same seeds."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from ..common import constants
from ..model.queue_settings import objective_of
from .replay import METRICS, Block, QueueMetrics, Replay, WorkModel, resampled

GUARDED = ("wait_median", "wait_99", "dues_missed", "failed", "shed")  # metrics that a draft may not worsen

Pair = tuple[QueueMetrics, QueueMetrics]  # metrics under one seed: (active table, draft)


def cost(metrics: QueueMetrics, objective: dict[str, Any]) -> float:
    """The cost of a replay by the objective; less is better. Each queue counts alike except for its weight,
    however many jobs it has.
    """
    weights = objective["queues"]
    total: float = sum(
        weights.get(queue, 1.0) * sum(objective[name] * queue_metrics[name] for name in METRICS)
        for queue, queue_metrics in metrics.items()
    )
    return total


def guard_violation(
    queue: str,
    pairs: Sequence[tuple[dict[str, float], dict[str, float]]],
    needed: int,
    guard: dict[str, float],
) -> str | None:
    """How a draft worsens one queue beyond the bounds of the guard, in words, or None."""
    for name in GUARDED:
        before = [before_metrics[name] for before_metrics, _ in pairs]
        after = [after_metrics[name] for _, after_metrics in pairs]
        bound = (guard["factor"], guard["seconds"]) if name.startswith("wait") else (1.0, guard["part"])
        worse = sum(b > a * bound[0] + bound[1] for a, b in zip(before, after, strict=False))
        if worse >= needed:
            return (
                f"{queue}: {name} goes from {sum(before) / len(pairs):.3f} to {sum(after) / len(pairs):.3f}, "
                f"beyond the guard in {worse} of {len(pairs)} replays"
            )
    return None


class Comparison(NamedTuple):
    """The costs of both tables over all replays. Invariant: better + worse <= pairs."""

    active: float  # mean cost
    draft: float  # mean cost
    better: int  # replays in which the draft costs clearly less
    worse: int
    pairs: int

    def needed(self) -> int:
        """How many replays must agree for a verdict."""
        return max(1, self.pairs * constants.REHEARSAL_AGREE // constants.REHEARSAL_PAIRS)

    def verdict(self) -> str:
        """Which table is better by the objective."""
        if self.better >= self.needed():
            return "better"
        return "worse" if self.worse >= self.needed() else "no difference"

    def why(self) -> str:
        """The reason for the verdict, in words."""
        return (
            f"cost {self.active:.3f} in force, {self.draft:.3f} draft; "
            f"lower in {self.better}, higher in {self.worse} of {self.pairs} replays"
        )


def _compared(replays: Sequence[Pair], objective: dict[str, Any]) -> Comparison:
    costs = [(cost(before, objective), cost(after, objective)) for before, after in replays]
    active, draft = [sum(table_costs) / len(costs) for table_costs in zip(*costs, strict=False)]
    min_difference = max(constants.MIN_REHEARSAL_DIFFERENCE * active, 1e-9)
    better = sum(after < before - min_difference for before, after in costs)
    worse = sum(after > before + min_difference for before, after in costs)
    return Comparison(active, draft, better, worse, len(costs))


def _by_queue(
    replays: Sequence[Pair], needed: int, guard: dict[str, float]
) -> tuple[list[dict[str, Any]], list[str]]:
    """(mean metrics of each queue under both tables, violations of the guard)."""
    queues, harms = [], []
    for queue in sorted({queue for active, _ in replays for queue in active}):
        queue_pairs = [(before[queue], after[queue]) for before, after in replays if queue in before]
        metrics_line: dict[str, Any] = {"queue": queue}
        for name in METRICS:
            metrics_line[name] = round(sum(before[name] for before, _ in queue_pairs) / len(queue_pairs), 4)
            metrics_line[f"draft_{name}"] = round(
                sum(after[name] for _, after in queue_pairs) / len(queue_pairs), 4
            )
        queues.append(metrics_line)
        violation = guard_violation(
            queue, queue_pairs, max(1, len(queue_pairs) * needed // len(replays)), guard
        )
        if violation:
            harms.append(violation)
    return queues, harms


def _why_not_measurable(blocks: Sequence[Block], worker_capacities: Sequence[Sequence[Any]]) -> str:
    """Why a draft can't be measured, or ""."""
    count, nonempty = _traffic(blocks)
    if not worker_capacities:
        return "no minion is known"
    if count < constants.MIN_TRAFFIC_JOBS or nonempty < constants.TRAFFIC_BLOCKS:
        return (
            f"{count} recent tickets in {nonempty} blocks of {constants.SAMPLE_BLOCK:.0f} s, "
            f"{constants.MIN_TRAFFIC_JOBS} in {constants.TRAFFIC_BLOCKS} needed"
        )
    return ""


def _traffic(blocks: Sequence[Block]) -> tuple[int, int]:
    """(number of jobs, number of blocks that contain any)."""
    return sum(len(block[2]) for block in blocks), sum(1 for block in blocks if block[2])


def _replayed(
    blocks: Sequence[Block],
    tables: tuple[dict[str, Any], dict[str, Any]],
    worker_capacities: Sequence[Sequence[Any]],
    pause: Callable[[], None] | None,
    pairs: int,
) -> list[Pair]:
    """The metrics of both tables under each seed."""
    work = WorkModel(blocks)
    replays = []
    for seed in range(pairs):
        running, arrivals = resampled(blocks, seed)
        active, draft = [
            Replay(table, worker_capacities, work, seed).run(arrivals, running, pause=pause)
            for table in tables
        ]
        replays.append((active, draft))
    return replays


def measure(
    blocks: Sequence[Block],
    active: dict[str, Any],
    draft: dict[str, Any],
    worker_capacities: Sequence[Sequence[Any]],
    pause: Callable[[], None] | None = None,
    pairs: int = constants.REHEARSAL_PAIRS,
) -> dict[str, Any]:
    """Replays both tables in pairs under the same seeds and decides which is better by the active objective,
    or reports that there was too little traffic to decide.
    """
    count, nonempty = _traffic(blocks)
    insufficient = _why_not_measurable(blocks, worker_capacities)
    if insufficient:
        return {"verdict": "not measured", "tickets": count, "why": insufficient, "queues": []}
    objective = objective_of(active)
    replays = _replayed(blocks, (active, draft), worker_capacities, pause, pairs)
    compared = _compared(replays, objective)
    queues, harms = _by_queue(replays, compared.needed(), objective["guard"])
    verdict, why = compared.verdict(), compared.why()
    if harms and verdict != "worse":
        verdict, why = "worse", "the guard: " + "; ".join(harms)
    return {
        "verdict": verdict,
        "why": why,
        "tickets": count,
        "blocks": nonempty,
        "pairs": pairs,
        "better_in": compared.better,
        "worse_in": compared.worse,
        "cost_in_force": compared.active,
        "cost_draft": compared.draft,
        "harms": harms,
        "queues": queues,
    }

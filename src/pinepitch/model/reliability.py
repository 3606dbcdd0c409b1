"""Whether a worker can be trusted with work, judged by the ends of the runs on it.

A failed run is evidence against its worker only as far as the work itself is not at fault: work that fails on
several workers and succeeds on none says nothing about them. Evidence also gets old: a worker that is
distrusted gets one run on trial after a while, and its success outweighs old failures.
"""

import collections
import enum
from collections.abc import Collection
from typing import NamedTuple

from ..common import constants

# Identifies work that ends alike wherever it runs, such as (identity of a job, number of a step).
WorkKey = tuple[str, int]
NO_WORK: WorkKey = (
    "",
    0,
)  # for failures that no work can be the cause of, such as an order without an answer


class Trust(enum.IntEnum):
    """How a worker is treated when work is placed; lower is preferred."""

    ON_TRIAL = 0  # distrusted for so long that one run is to show whether it still fails
    RELIABLE = 1
    UNRELIABLE = 2  # gets work only where no other worker can take it, and one run at a time


class Outcome(NamedTuple):
    """The end of a run on a worker."""

    work: WorkKey
    succeeded: bool


class Reliability:
    """The recent outcomes of one worker and the failure rate that follows from them.

    Invariants: `failure_rate`, the exponentially decaying share of failures that count against the worker,
    lies in [0, 1]. It follows from `outcomes`, oldest first, and from `earlier_rate`, the rate before the
    first of them. `failed_at` is when the newest failure was recorded, seconds of the leader's clock.
    """

    __slots__ = ("earlier_rate", "failed_at", "failure_rate", "outcomes")

    def __init__(self) -> None:
        self.failure_rate = self.earlier_rate = 0.0
        self.failed_at = -1e9
        self.outcomes: collections.deque[Outcome] = collections.deque(maxlen=constants.OUTCOMES_KEPT)

    def add(self, outcome: Outcome, now: float, counts: bool) -> None:
        """Adds the newest outcome. `counts`: whether it changes the failure rate."""
        self.outcomes.append(outcome)
        if not outcome.succeeded:
            self.failed_at = now
        if counts:
            self.failure_rate = _next_rate(self.failure_rate, outcome.succeeded)

    def fade(self, now: float) -> None:
        """Reduces the failure rate by the age of the newest failure; earlier outcomes count for no more."""
        self.failure_rate = self.earlier_rate = self._faded_rate(now)
        self.outcomes.clear()

    def is_distrusted(self) -> bool:
        """Whether the failure rate is so high that the worker gets one run at a time."""
        return self.failure_rate > constants.LIVENESS_POOR

    def trust(self, now: float) -> Trust:
        """How the worker is treated now."""
        if not self.is_distrusted():
            return Trust.RELIABLE
        return Trust.ON_TRIAL if self._faded_rate(now) <= constants.LIVENESS_POOR else Trust.UNRELIABLE

    def _faded_rate(self, now: float) -> float:
        """The failure rate, halved for each FAILURE_HALF_LIFE since the newest failure."""
        age = max(0.0, now - self.failed_at)
        return self.failure_rate * 0.5 ** (age / constants.FAILURE_HALF_LIFE)


def _next_rate(rate: float, succeeded: bool) -> float:
    """A failure rate after one more outcome."""
    return rate + ((0.0 if succeeded else 1.0) - rate) / constants.LIVENESS_HALF


class FailedWork:
    """Work that has failed. Invariant: `at_fault`, whether the work is taken for the cause, is false once the
    work has succeeded.
    """

    __slots__ = ("at_fault", "has_succeeded", "workers")

    def __init__(self, has_succeeded: bool) -> None:
        self.has_succeeded, self.at_fault = has_succeeded, False
        self.workers: dict[str, bool] = {}  # identities of those it failed on; an ordered set


class FailureEvidence:
    """Weighs the outcomes of runs on all workers.

    Invariant: a failure counts against its worker if the work has succeeded somewhere. If it has not, at most
    UNPROVEN_FAILURES failures of the same work count against one worker, and none once the work has failed on
    two workers that do other work well, as far as is known.
    """

    def __init__(self) -> None:
        self._workers: dict[str, Reliability] = {}
        self._failed_work: dict[WorkKey, FailedWork] = {}  # in the order of the first failures

    def of(self, worker_id: str) -> Reliability:
        """What is known of a worker."""
        return self._workers.setdefault(worker_id, Reliability())

    def trust_of(self, worker_id: str, now: float) -> Trust:
        """How a worker is treated now."""
        reliability = self._workers.get(worker_id)
        return Trust.RELIABLE if reliability is None else reliability.trust(now)

    def forget(self, worker_id: str) -> None:
        """Drops what is known of a worker that is gone."""
        self._workers.pop(worker_id, None)

    def workers_failed_on(self, work: WorkKey) -> Collection[str]:
        """The workers on which some work has failed."""
        failed = self._failed_work.get(work)
        return failed.workers if failed is not None else ()

    def is_at_fault(self, work: WorkKey) -> bool:
        """Whether some work is taken for the cause of its failures."""
        failed = self._failed_work.get(work)
        return failed is not None and failed.at_fault

    def record(self, worker_id: str, outcome: Outcome, proven: bool, now: float) -> None:
        """Records the outcome of a run at `now`, seconds of the leader's clock. `proven`: whether the work is
        known to have succeeded before.
        """
        if outcome.succeeded:
            self._record_success(self.of(worker_id), outcome, now)
        else:
            self._record_failure(worker_id, outcome, proven, now)

    def _record_success(self, reliability: Reliability, outcome: Outcome, now: float) -> None:
        if reliability.is_distrusted():
            reliability.fade(now)
        reliability.add(outcome, now, counts=True)
        failed = self._failed_work.get(outcome.work)
        if failed is not None and not failed.has_succeeded:
            failed.has_succeeded, failed.at_fault = True, False
            self._recount(failed)

    def _record_failure(self, worker_id: str, outcome: Outcome, proven: bool, now: float) -> None:
        reliability, failed = self.of(worker_id), self._failed_work.get(outcome.work)
        if failed is None:
            failed = self._failed_work[outcome.work] = FailedWork(proven)
            self._drop_oldest()
        is_new = worker_id not in failed.workers
        failed.workers[worker_id] = True
        unproven = collections.Counter({outcome.work: reliability.outcomes.count(outcome)})
        reliability.add(outcome, now, self._counts(outcome, unproven))
        if (
            is_new
            and not failed.has_succeeded
            and not failed.at_fault
            and self._has_witnesses(failed, outcome)
        ):
            failed.at_fault = True
            self._recount(failed)

    def _has_witnesses(self, failed: FailedWork, outcome: Outcome) -> bool:
        """Whether some work has failed on two workers that do other work well."""
        known = [self._workers[worker_id] for worker_id in failed.workers if worker_id in self._workers]
        rates = [self._rate(reliability, without=outcome.work) for reliability in known]
        return sum(rate <= constants.LIVENESS_POOR for rate in rates) > 1

    def _recount(self, failed: FailedWork) -> None:
        """Computes the failure rates of the workers on which some work has failed anew."""
        for worker_id in failed.workers:
            reliability = self._workers.get(worker_id)
            if reliability is not None:
                reliability.failure_rate = self._rate(reliability)

    def _rate(self, reliability: Reliability, without: WorkKey | None = None) -> float:
        """The failure rate of a worker by its recent outcomes, but those with the work `without`."""
        rate, unproven = reliability.earlier_rate, collections.Counter[WorkKey]()
        for outcome in reliability.outcomes:
            if outcome.work != without and self._counts(outcome, unproven):
                rate = _next_rate(rate, outcome.succeeded)
        return rate

    def _counts(self, outcome: Outcome, unproven: collections.Counter[WorkKey]) -> bool:
        """Whether an outcome changes the failure rate of its worker. `unproven` counts the failures there of
        each work that has succeeded nowhere.
        """
        failed = None if outcome.succeeded else self._failed_work.get(outcome.work)
        if failed is None or failed.has_succeeded:
            return True
        if failed.at_fault:
            return False
        unproven[outcome.work] += 1
        return unproven[outcome.work] <= constants.UNPROVEN_FAILURES

    def _drop_oldest(self) -> None:
        """Drops the work that failed first, beyond FAILED_WORK_KEPT."""
        if len(self._failed_work) > constants.FAILED_WORK_KEPT:
            del self._failed_work[next(iter(self._failed_work))]

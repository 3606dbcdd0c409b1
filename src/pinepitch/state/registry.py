"""The registry of operations: their names on the wire and on disk, types, functions and levels.

A new operation is added here with a level above the released ones. It is proposed only once all members
know that level.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from ..scheduling.job_document import job_cost
from . import (
    closing_operations,
    cluster_operations,
    configuration_operations,
    draft_operations,
    ending_operations,
    leased_job_operations,
    operations,
    placing_operations,
    pushed_job_operations,
    yielding_operations,
)
from .outcomes import Outcome


class Action(NamedTuple):
    """How an operation from the log is decoded and applied."""

    decode: Callable[..., Any]  # (fields that follow the name) -> typed operation
    apply: Callable[..., Outcome]  # (state, typed operation) -> outcome


def _consensus_entry(*content: Any) -> operations.ConsensusEntry:
    return operations.ConsensusEntry(content)


ACTIONS = {
    "noop": Action(_consensus_entry, cluster_operations.ignore),
    "members": Action(_consensus_entry, cluster_operations.ignore),
    "ticket": Action(operations.AcceptJob, pushed_job_operations.accept_job),
    "cancel": Action(operations.CancelJob, pushed_job_operations.cancel_job),
    "duty": Action(operations.TakeRole, cluster_operations.take_role),
    "place": Action(operations.PlaceTasks, placing_operations.place_tasks),
    "ended": Action(operations.EndAttempts, ending_operations.end_attempts),
    "yield": Action(operations.YieldTasks, yielding_operations.yield_tasks),
    "drain": Action(operations.DrainWorker, closing_operations.drain_worker),
    "area": Action(operations.EmptyZone, closing_operations.empty_zone),
    "withdraw": Action(operations.WithdrawWorker, closing_operations.withdraw_worker),
    "gone": Action(operations.WorkerGone, closing_operations.worker_gone),
    "setup": Action(operations.ChangeConfiguration, configuration_operations.change_configuration),
    "draft": Action(operations.CreateDraft, draft_operations.create_draft),
    "rehearse": Action(operations.RehearseDraft, draft_operations.rehearse_draft),
    "measure": Action(operations.RecordMeasurement, draft_operations.record_measurement),
    "approve": Action(operations.ApproveDraft, draft_operations.approve_draft),
    "drop": Action(operations.DropDraft, draft_operations.drop_draft),
    "hold": Action(operations.PauseApprovals, cluster_operations.pause_approvals),
    "level": Action(operations.RaiseLevel, cluster_operations.raise_level),
    "job": Action(operations.AcceptLeasedJob, leased_job_operations.accept_leased_job),
    "job-cancel": Action(operations.CancelLeasedJob, leased_job_operations.cancel_leased_job),
    "job-assign": Action(operations.AssignRuns, leased_job_operations.assign_runs),
    "job-stop": Action(operations.StopRuns, leased_job_operations.stop_runs),
    "job-ended": Action(operations.EndRuns, leased_job_operations.end_runs),
    "configure": Action(operations.ConfigureRoutes, leased_job_operations.configure_routes),
    "amend": Action(operations.AmendRoutes, leased_job_operations.amend_routes),
    "evacuate": Action(operations.EvacuateZone, leased_job_operations.evacuate_zone),
    "evacuation": Action(operations.EvacuateZone, leased_job_operations.evacuate_zone),
    "tenant-job": Action(operations.AcceptLeasedJob, leased_job_operations.accept_leased_job),
    "configure-tenants": Action(operations.ConfigureRoutes, leased_job_operations.configure_routes),
    "amend-tenants": Action(operations.AmendRoutes, leased_job_operations.amend_routes),
    "job-cancel-unknown": Action(operations.CancelUnknownJobs, leased_job_operations.cancel_unknown_jobs),
}
# Operation -> the level that introduced it; operations that are not listed are of level 1.
LEVELS = {
    "level": 2,
    "job": 2,
    "job-cancel": 2,
    "job-assign": 2,
    "job-stop": 2,
    "job-ended": 2,
    "configure": 2,
    "amend": 2,
    "evacuate": 2,
    "evacuation": 3,
    "tenant-job": 4,
    "configure-tenants": 4,
    "amend-tenants": 4,
    "job-cancel-unknown": 5,
}
# Operations requested by callers that enlarge the image for a long time; they are refused once the image is
# full. Operations that end, cancel or replace something are never refused for this reason.
GROWING = frozenset(("ticket", "job", "tenant-job", "setup", "draft", "approve"))


def memory_cost(operation: Sequence[Any]) -> int:
    """The bytes of memory that an operation may take for as long as its job is open; 0 if that is bounded by
    other limits.
    """
    return job_cost(operation[3]) if operation[0] in ("job", "tenant-job") else 0

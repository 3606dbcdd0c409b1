"""Operations on leased jobs, which pass the cluster time and their fields, in order, to LeasedJobState."""

from typing import TYPE_CHECKING

from .operations import (
    AcceptLeasedJob,
    AmendRoutes,
    AssignRuns,
    CancelLeasedJob,
    CancelUnknownJobs,
    ConfigureRoutes,
    EndRuns,
    EvacuateZone,
    StopRuns,
)
from .outcomes import STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def accept_leased_job(state: "ClusterState", operation: AcceptLeasedJob) -> Outcome:
    """Accepts a leased job."""
    return state.leased_jobs.accept(state.time, *operation)


def cancel_leased_job(state: "ClusterState", operation: CancelLeasedJob) -> Outcome:
    """Cancels a leased job."""
    return state.leased_jobs.cancel(state.time, operation.identity)


def cancel_unknown_jobs(state: "ClusterState", operation: CancelUnknownJobs) -> Outcome:
    """Cancels leased jobs that may not have been accepted yet."""
    return state.leased_jobs.cancel_unknown(state.time, operation.items)


def assign_runs(state: "ClusterState", operation: AssignRuns) -> Outcome:
    """Assigns runs, unless the proposer has lost the placing role."""
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    return ("assigned", state.leased_jobs.assign(state.time, operation.epoch, operation.items))


def stop_runs(state: "ClusterState", operation: StopRuns) -> Outcome:
    """Marks runs that the leader wants stopped, unless the proposer has lost the placing role."""
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    return state.leased_jobs.stop(state.time, operation.items)


def end_runs(state: "ClusterState", operation: EndRuns) -> Outcome:
    """Records runs that are proven to have ended.

    The operation has no epoch: an end counts whichever leader proposed it.
    """
    return state.leased_jobs.end(state.time, operation.items)


def configure_routes(state: "ClusterState", operation: ConfigureRoutes) -> Outcome:
    """Replaces the whole configuration of the routes of leased jobs."""
    return state.leased_jobs.configure(state.time, *operation)


def amend_routes(state: "ClusterState", operation: AmendRoutes) -> Outcome:
    """Changes individual routes of leased jobs."""
    return state.leased_jobs.amend(state.time, *operation)


def evacuate_zone(state: "ClusterState", operation: EvacuateZone) -> Outcome:
    """Begins or ends the evacuation of a zone; its log index identifies this order to begin or end."""
    return state.leased_jobs.evacuate(
        state.time, operation.zone, operation.begun, state.index, operation.confirmed
    )

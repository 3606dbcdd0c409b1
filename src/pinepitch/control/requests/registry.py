"""Registries of requests and of the answers built from outcomes; a new request is a new entry here.

A reading request is answered from the cluster state once leadership is confirmed. A deciding request is
answered at once, or returns the operation to commit first. Handlers are called only while the daemon leads.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ...model.decisions import Answer, Decision
from ...scheduling import requests as leased_jobs
from ...transport.forwarder import LOG_INDEX_REQUEST
from .. import image_digests
from . import cluster, drafts, explanations, push_workers, pushed_jobs, queue_configuration


class Request(NamedTuple):
    """How one request is handled. Invariant: a request that is confirmed by a round of heartbeats changes
    nothing and always returns an Answer; reads of leased jobs are confirmed by the lease instead.
    """

    confirm_by_round: bool
    make: Callable[..., Decision]  # called with (daemon, token, arguments, now)


# name on the wire -> how the request is handled
REQUESTS = {
    "submit": Request(False, pushed_jobs.submit),
    "ticket": Request(True, pushed_jobs.read_job),
    "tickets": Request(True, pushed_jobs.list_jobs),
    "cancel": Request(False, pushed_jobs.cancel),
    "report": Request(False, push_workers.report),
    "minions": Request(True, push_workers.list_workers),
    "drain": Request(False, push_workers.drain),
    "withdraw": Request(False, push_workers.withdraw),
    "areas": Request(True, push_workers.list_zones),
    "area": Request(False, push_workers.empty_zone),
    "setup": Request(True, queue_configuration.read_version),
    "setups": Request(True, queue_configuration.list_versions),
    "change": Request(False, queue_configuration.change),
    "back": Request(False, queue_configuration.go_back),
    "table": Request(True, queue_configuration.read_table),
    "draft": Request(False, drafts.draft),
    "drafts": Request(True, drafts.list_drafts),
    "one-draft": Request(True, drafts.read_draft),
    "rehearse": Request(False, drafts.rehearse),
    "approve": Request(False, drafts.approve),
    "drop": Request(False, drafts.drop),
    "pending": Request(True, cluster.pending),
    "cohort": Request(True, cluster.read_cluster),
    "figures": Request(True, cluster.read_counts),
    "holds": Request(True, cluster.list_approval_pauses),
    "whence": Request(True, explanations.explain),
    "live": Request(True, cluster.list_placed_tasks),
    LOG_INDEX_REQUEST: Request(True, cluster.read_log_index),
    image_digests.CALL: Request(True, cluster.read_image_digests),
    **{name: Request(False, make) for name, make in leased_jobs.CALLS.items()},
}

# name in Propose.outcome_answer -> builder of the answer, called with (daemon, outcome, context, now)
OUTCOME_ANSWERS: dict[str, Callable[..., Answer]] = {
    "submit": pushed_jobs.submit_answer,
    "cancel": pushed_jobs.cancel_answer,
    "report": push_workers.report_answer,
    "done": push_workers.done_answer,
    "setup": queue_configuration.change_answer,
    "draft": drafts.draft_answer,
    "dropped": drafts.dropped_answer,
    **leased_jobs.OUTCOME_ANSWERS,
}

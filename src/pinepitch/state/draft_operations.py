"""Operations on drafts, which are changes of the queue configuration that are rehearsed before approval.

A draft builds on one version, its measurement is accepted only from the current owner of the rehearsal
role, and it is approved at most once.
"""

from typing import TYPE_CHECKING, Any

from ..common import constants
from ..model import queue_settings as queue_documents
from .configuration_operations import activate_configuration, apply_once, configuration_faults
from .operations import ApproveDraft, CreateDraft, DropDraft, RecordMeasurement, RehearseDraft
from .outcomes import MISSING, OK, STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def create_draft(state: "ClusterState", operation: CreateDraft) -> Outcome:
    """("draft", identity, index), or an outcome that begins with "conflict" or "invalid".

    A request that is forwarded again gets the same outcome.
    """
    return apply_once(state, operation.token, lambda: _new_draft(state, operation))


def _new_draft(state: "ClusterState", operation: CreateDraft) -> Outcome:
    if operation.base != state.version:
        return ("conflict", state.version)
    checked, faults = configuration_faults(
        state, queue_documents.merged(state.queue_configuration, operation.patch)
    )
    if faults:
        return ("invalid", faults)
    state.draft_count += 1
    identity = f"d{state.draft_count}"
    while len(state.drafts) >= constants.MAX_DRAFTS:
        state.drafts = state.drafts.delete(
            min(state.drafts, key=lambda draft_identity: int(draft_identity[1:]))
        )
    draft = {
        "draft": identity,
        "base": operation.base,
        "setup": checked,
        "patch": operation.patch,
        "who": operation.author,
        "why": operation.reason,
        "time": state.time,
        "state": "open",
        "measure": None,
        "rooms": [],
        "asked": 0,
    }
    state.drafts = state.drafts.set(identity, draft)
    return ("draft", identity)


def _change_draft(state: "ClusterState", identity: str, /, **changed: Any) -> None:
    state.drafts = state.drafts.set(identity, {**state.drafts[identity], **changed})


def _draft_refusal(state: "ClusterState", identity: str) -> Outcome | None:
    """The outcome that refuses a further step with a draft, or None if the draft is open and up to date."""
    draft = state.drafts.get(identity)
    if draft is None:
        return MISSING
    if draft["state"] == "approved":
        return ("ended", "approved")
    return ("conflict", state.version) if draft["base"] != state.version else None


def rehearse_draft(state: "ClusterState", operation: RehearseDraft) -> Outcome:
    """Asks the owner of the rehearsal role to measure a draft with workers of these capacities."""
    refusal = _draft_refusal(state, operation.identity)
    if refusal is not None:
        return refusal
    request_number = state.drafts[operation.identity]["asked"] + 1
    _change_draft(
        state,
        operation.identity,
        state="rehearsing",
        measure=None,
        rooms=operation.worker_capacities,
        asked=request_number,
    )
    return ("draft", operation.identity)


def record_measurement(state: "ClusterState", operation: RecordMeasurement) -> Outcome:
    """Stores the result of a rehearsal, if it answers the newest request and the proposer has the role."""
    draft = state.drafts.get(operation.identity)
    if operation.epoch != state.epoch("rehearsal"):
        return STALE_EPOCH
    if draft is None or draft["state"] != "rehearsing" or draft["asked"] != operation.request_number:
        return ("refused", "not asked")
    _change_draft(state, operation.identity, state="measured", measure=operation.measurement)
    return ("draft", operation.identity)


def approve_draft(state: "ClusterState", operation: ApproveDraft) -> Outcome:
    """Activates a draft, if its rehearsal found it better than the active version."""
    return apply_once(state, operation.token, lambda: _approve(state, operation))


def _approve(state: "ClusterState", operation: ApproveDraft) -> Outcome:
    identity = operation.identity
    refusal = _draft_refusal(state, identity)
    if refusal is not None:
        return refusal
    draft = state.drafts[identity]
    if draft["state"] != "measured" or draft["measure"]["verdict"] == "not measured":
        return ("unmeasured",)
    if draft["measure"]["verdict"] != "better":
        return ("worse", draft["measure"]["verdict"])
    if state.approval_pauses:
        return ("held", tuple((alert, why) for alert, (_, why) in sorted(state.approval_pauses.items())))
    reason = operation.reason or f"draft {identity}: {draft['why']}"
    outcome = activate_configuration(state, draft["setup"], operation.author, reason)
    if outcome[0] == "setup":
        _change_draft(state, identity, state="approved")
    return outcome


def drop_draft(state: "ClusterState", operation: DropDraft) -> Outcome:
    """Drops a draft."""
    if operation.identity not in state.drafts:
        return MISSING
    state.drafts = state.drafts.delete(operation.identity)
    return OK

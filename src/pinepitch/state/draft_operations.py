"""Operations on drafts: changes of the queue configuration that are measured before they are made.

A draft builds on one version, is measured under the epoch it was asked in, and is approved at
most once.
"""

from typing import TYPE_CHECKING, Any

from ..common import constants
from ..model import queue_settings as queue_documents
from .configuration_operations import configuration_faults, once, put_in_force
from .operations import ApproveDraft, CreateDraft, DropDraft, RecordMeasurement, RehearseDraft
from .outcomes import MISSING, OK, STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def create_draft(state: "ClusterState", operation: CreateDraft) -> Outcome:
    """("draft", identity, index), "conflict" or "invalid", the same at each repetition."""
    return once(state, operation.mark, lambda: _new_draft(state, operation))


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
        state.drafts = state.drafts.delete(min(state.drafts, key=lambda one: int(one[1:])))
    draft = {
        "draft": identity,
        "base": operation.base,
        "setup": checked,
        "patch": operation.patch,
        "who": operation.who,
        "why": operation.why,
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
    """Why a draft can't be gone on with, or None."""
    draft = state.drafts.get(identity)
    if draft is None:
        return MISSING
    if draft["state"] == "approved":
        return ("ended", "approved")
    return ("conflict", state.version) if draft["base"] != state.version else None


def rehearse_draft(state: "ClusterState", operation: RehearseDraft) -> Outcome:
    """Asks the holder of the rehearsal role to measure a draft on these workers' capacities."""
    refusal = _draft_refusal(state, operation.identity)
    if refusal is not None:
        return refusal
    asked = state.drafts[operation.identity]["asked"] + 1
    _change_draft(
        state,
        operation.identity,
        state="rehearsing",
        measure=None,
        rooms=operation.worker_capacities,
        asked=asked,
    )
    return ("draft", operation.identity)


def record_measurement(state: "ClusterState", operation: RecordMeasurement) -> Outcome:
    """Takes the result of a rehearsal, from whoever holds the role."""
    draft = state.drafts.get(operation.identity)
    if operation.epoch != state.epoch("rehearsal"):
        return STALE_EPOCH
    if draft is None or draft["state"] != "rehearsing" or draft["asked"] != operation.asked:
        return ("refused", "not asked")
    _change_draft(state, operation.identity, state="measured", measure=operation.measure)
    return ("draft", operation.identity)


def approve_draft(state: "ClusterState", operation: ApproveDraft) -> Outcome:
    """Puts a draft in force if it was found better on the version in force."""
    return once(state, operation.mark, lambda: _approve(state, operation))


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
    why = operation.why or f"draft {identity}: {draft['why']}"
    outcome = put_in_force(state, draft["setup"], operation.who, why)
    if outcome[0] == "setup":
        _change_draft(state, identity, state="approved")
    return outcome


def drop_draft(state: "ClusterState", operation: DropDraft) -> Outcome:
    """Drops a draft."""
    if operation.identity not in state.drafts:
        return MISSING
    state.drafts = state.drafts.delete(operation.identity)
    return OK

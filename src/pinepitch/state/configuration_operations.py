"""The operation that changes the queue configuration, and what approvals of drafts share with it."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..model import queue_settings as queue_documents
from .operations import ChangeConfiguration
from .outcomes import Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState

MARKS_LEVEL = 3  # of operations; from it on all members know which marks they have forgotten
Faults = tuple[tuple[str, str], ...]  # (path in the document, what is wrong there)


def change_configuration(state: "ClusterState", operation: ChangeConfiguration) -> Outcome:
    """("setup", version, index), "conflict" or "invalid", the same at each repetition."""
    return once(state, operation.mark, lambda: apply_change(state, operation))


def once(state: "ClusterState", mark: str, change: Callable[[], Outcome]) -> Outcome:
    """The outcome of a change, the same one however often it is forwarded here."""
    known: Outcome | None = state.marks.outcome(mark)
    if known is not None:
        return known
    outcome = (*change(), state.index)
    state.marks.keep(mark, outcome, state.level >= MARKS_LEVEL)
    return outcome


def apply_change(state: "ClusterState", operation: ChangeConfiguration) -> Outcome:
    """Makes a change for the first time."""
    if operation.base is not None and operation.base != state.version:
        return ("conflict", state.version)
    document = operation.document
    if operation.manner == "merge":
        document = queue_documents.merged(state.queue_configuration, document)
    return put_in_force(state, document, operation.who, operation.why)


def configuration_faults(state: "ClusterState", document: object) -> tuple[dict[str, Any] | None, Faults]:
    """(checked, ()) or (None, faults) of a whole configuration against the live jobs."""
    checked, faults = queue_documents.checked(document, state.queue_configuration)
    if checked is not None:
        faults = tuple(
            (f"queues.{queue}", f"{count} live tickets, so it can't go")
            for queue, count in sorted(state.progress.live_counts.items())
            if count and queue not in checked["queues"]
        )
    return (None, faults) if faults else (checked, ())


def put_in_force(state: "ClusterState", document: object, who: str, why: str) -> Outcome:
    """Makes a whole configuration the next version, unless it has faults."""
    checked, faults = configuration_faults(state, document)
    if checked is None:
        return ("invalid", faults)
    base = state.version
    state.version += 1
    before, state.queue_configuration = state.queue_configuration, checked
    state.queue_configurations.add(state.version, checked, who, why, state.time, base)
    known = state.queue_settings
    state.queue_settings = {
        queue: known[queue]
        if queue in known and before["queues"].get(queue) is queue_settings
        else queue_documents.queue_settings_of(queue_settings)
        for queue, queue_settings in checked["queues"].items()
    }
    return ("setup", state.version)

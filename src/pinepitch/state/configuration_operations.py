"""The operation that changes the queue configuration, and functions that draft operations share with it."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..model import queue_settings as queue_documents
from .operations import ChangeConfiguration
from .outcomes import Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState

WATERMARKS_LEVEL = 3  # of operations; from this level on all members store watermarks of dropped tokens
Faults = tuple[tuple[str, str], ...]  # (path in the document, what is wrong there)


def change_configuration(state: "ClusterState", operation: ChangeConfiguration) -> Outcome:
    """("setup", version, index), or an outcome that begins with "conflict" or "invalid".

    A change that is forwarded again gets the same outcome.
    """
    return apply_once(state, operation.token, lambda: apply_change(state, operation))


def apply_once(state: "ClusterState", token: str, change: Callable[[], Outcome]) -> Outcome:
    """Applies a change the first time its token is seen; returns that outcome at each repetition."""
    known: Outcome | None = state.change_watermarks.outcome(token)
    if known is not None:
        return known
    outcome = (*change(), state.index)
    state.change_watermarks.record(token, outcome, state.level >= WATERMARKS_LEVEL)
    return outcome


def apply_change(state: "ClusterState", operation: ChangeConfiguration) -> Outcome:
    """Applies a change that has not been applied before."""
    if operation.base is not None and operation.base != state.version:
        return ("conflict", state.version)
    document = operation.document
    if operation.mode == "merge":
        document = queue_documents.merged(state.queue_configuration, document)
    return activate_configuration(state, document, operation.author, operation.reason)


def configuration_faults(state: "ClusterState", document: object) -> tuple[dict[str, Any] | None, Faults]:
    """Checks a whole configuration, also against the live jobs: (configuration, ()) or (None, faults)."""
    checked, faults = queue_documents.checked(document, state.queue_configuration)
    if checked is not None:
        faults = tuple(
            (f"queues.{queue}", f"{count} live tickets, so it can't go")
            for queue, count in sorted(state.progress.live_counts.items())
            if count and queue not in checked["queues"]
        )
    return (None, faults) if faults else (checked, ())


def activate_configuration(state: "ClusterState", document: object, author: str, reason: str) -> Outcome:
    """Makes a whole configuration the next active version, unless it has faults."""
    checked, faults = configuration_faults(state, document)
    if checked is None:
        return ("invalid", faults)
    base = state.version
    state.version += 1
    previous, state.queue_configuration = state.queue_configuration, checked
    state.queue_configurations.add(state.version, checked, author, reason, state.time, base)
    previous_settings = state.queue_settings
    state.queue_settings = {
        queue: previous_settings[queue]
        if queue in previous_settings and previous["queues"].get(queue) is queue_settings
        else queue_documents.queue_settings_of(queue_settings)
        for queue, queue_settings in checked["queues"].items()
    }
    return ("setup", state.version)

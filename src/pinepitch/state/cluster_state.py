"""The cluster state: the deterministic state machine driven by the replicated log.

apply(index, time, operation) returns an outcome, a tuple whose first element says how the operation
went. It reads no clock and draws no random number, so every control daemon reaches the same state.

The modules *_operations.py implement the operations as functions on this state; registry.py maps
operation names to them. image_codec.py encodes the state and audit.py checks it.
"""

from collections.abc import Sequence
from typing import Any, ClassVar, Self

import immutables

from ..common.entry_error import EntryNotAppliedError
from ..model import queue_settings as queue_documents
from ..model.pushed_job import PushedJob
from ..model.queue_settings import QueueSettings
from ..model.task import Standing, Task, reference, unit_of
from ..scheduling.leased_job_state import LeasedJobState
from . import audit, image_codec, pushed_job_operations
from .archive import Archive
from .change_watermarks import ChangeWatermarks
from .configuration_history import ConfigurationHistory
from .image_codec import EncodedImage, Image
from .job_progress import JobProgress
from .outcomes import Outcome
from .ready_queue import Entry, ReadyQueue, Shape, Slot, waiting_members
from .registry import ACTIONS, LEVELS, Action
from .reservations import Reservations
from .traffic_sample import Sample

LIVE_STATES = ("pending", "cancelling", "failing")  # states of a pushed job that is not final


class ClusterState:
    """All that the control daemons agree on.

    These attributes are stored in the image, whose encoded form is in snapshots:

    - time: the cluster's clock in seconds at the newest entry; it never decreases.
    - index: the log index of that entry.
    - pushed_jobs: identity -> PushedJob, for the live jobs and the newest finished ones.
    - archive: the older finished jobs.
    - keys: client's key -> identity, for the jobs in pushed_jobs.
    - accepted_count: the number of pushed jobs ever accepted.
    - finished: (identity, end time) of each finished job in pushed_jobs, in the order in which they
      ended.
    - version: the active version of the queue configuration; version numbers increase by one.
    - queue_configuration: the document of that version.
    - queue_configurations: the history of all versions.
    - epochs: singleton role -> (epoch, owner of the role); an epoch never decreases.
    - drained: worker -> since when an order has closed it to new pushed tasks.
    - emptied: zone -> since when an order has closed its workers to new pushed tasks. The evacuated
      zones of leased jobs are stored separately, in leased_jobs.
    - withdrawn: worker -> (time when the withdrawal is due, whether the worker is gone).
    - approval_pauses: alert -> (since, why), while the alert blocks approvals of drafts.
    - drafts: identity -> draft.
    - draft_count: the number of drafts ever created.
    - leased_jobs: the state of leased jobs, which the scheduling package owns.
    - level: the level of operations in use, which rises once all members know the next one and never
      decreases.
    - traffic_sample: a sample of the traffic, for rehearsals.
    - change_watermarks: the outcomes of the changes already applied, so that a change that is forwarded again
      is applied once.

    These attributes are not stored in the image: sealed, the (number, bytes) of archive segments
    sealed since the daemon last wrote them; and what derive() computes from the attributes above:
    queue_settings (queue -> QueueSettings), progress, reservations and ready_queue. audit() checks
    the invariants of the derived ones.
    """

    actions: ClassVar[dict[str, Action]] = ACTIONS
    levels: ClassVar[dict[str, int]] = LEVELS

    def __init__(self) -> None:
        self.time = 0.0
        self.index = 0
        self.pushed_jobs: immutables.Map[str, PushedJob] = immutables.Map()
        self.keys: immutables.Map[str, str] = immutables.Map()
        self.accepted_count = 0
        self.finished: list[tuple[str, float]] = []
        self.version = 1
        self.queue_configuration: dict[str, Any] = queue_documents.initial()
        self.queue_configurations = ConfigurationHistory()
        self.queue_configurations.add(
            1, self.queue_configuration, "founding", "the setup every cohort begins with", 0.0, 0
        )
        self.epochs: dict[str, tuple[int, str]] = {}
        self.drained: dict[str, float] = {}
        self.emptied: dict[str, float] = {}
        self.withdrawn: dict[str, tuple[float, bool]] = {}
        self.approval_pauses: dict[str, tuple[float, str]] = {}
        self.drafts: immutables.Map[str, dict[str, Any]] = immutables.Map()
        self.draft_count = 0
        self.archive = Archive()
        self.leased_jobs = LeasedJobState()
        self.level = 1
        self.sealed: list[tuple[int, bytes]] = []
        self.traffic_sample = Sample()
        self.change_watermarks = ChangeWatermarks()
        self.ready_queue = ReadyQueue()
        self.derive()

    # --- image ------------------------------------------------------------------------
    def image(self) -> Image:
        """A value that later changes of the state do not affect; encode() turns it into bytes."""
        return image_codec.image_of(self)

    @staticmethod
    def encode(image: Image) -> bytes:
        """The bytes of an image."""
        return image_codec.encode(image)

    @staticmethod
    def encode_with_digest(image: Image) -> EncodedImage:
        """The bytes of an image and their digest."""
        return image_codec.encode_with_digest(image)

    @classmethod
    def decode(cls, data: bytes, segments: dict[int, bytes] | None = None) -> Self:
        """The state from an image and the archive segments that the image refers to."""
        state = cls()
        image_codec.decode_into(state, data, segments)
        state.derive()
        return state

    def derive(self) -> None:
        """Rebuilds the attributes that are computed from the stored ones."""
        self.queue_settings: dict[str, QueueSettings] = {
            queue: queue_documents.queue_settings_of(queue_settings)
            for queue, queue_settings in self.queue_configuration["queues"].items()
        }
        self.progress = JobProgress()
        self.reservations = Reservations()
        self.ready_queue = ReadyQueue(self.ready_queue.promoted_until)
        for identity in sorted(self.pushed_jobs, key=lambda job_identity: int(job_identity[1:])):
            job = self.pushed_jobs[identity]  # identities are t1, t2, ... in the order of acceptance
            if job.state in LIVE_STATES:
                self.add_live_job(job)

    def add_live_job(self, job: PushedJob) -> None:
        """Adds a live job to the derived attributes."""
        self.progress.add(job)
        units = {}  # start unit -> one of its waiting tasks; any of them identifies the unit
        for name, task in job.tasks.items():
            standing = job.standings[name]
            if standing.state == "waiting":
                units[unit_of(task)] = name
            elif standing.state == "placed":
                self.reservations.reserve(job, task, standing)
                if standing.yields_to:
                    self.reservations.yielding[reference(job.identity, name)] = standing.attempt
        for name in units.values():
            self.put_in_ready_queue(job, name)

    # --- applying operations ----------------------------------------------------------
    def apply(self, index: int, time: float, operation: Sequence[Any]) -> Outcome:
        """Applies a committed operation, given as its name and its fields, and returns the outcome.

        Raises EntryNotAppliedError if this version does not know the operation or fails to apply it. Such an
        entry is never skipped, as this replica would differ from the rest of the cluster then.
        """
        self.index = index
        self.time = max(self.time, time)
        self.leased_jobs.open_due(self.time)
        action = self.actions.get(operation[0])
        if action is None:
            unknown = LookupError("this version does not know the operation")
            raise EntryNotAppliedError(index, operation[0], unknown)
        try:
            return action.apply(self, action.decode(*operation[1:]))
        except Exception as fault:
            raise EntryNotAppliedError(index, operation[0], fault) from fault

    def put_job(self, job: PushedJob) -> None:
        """Stores a pushed job that is new or has changed."""
        self.pushed_jobs = self.pushed_jobs.set(job.identity, job)

    def put_standing(self, job: PushedJob, name: str, standing: Standing) -> PushedJob:
        """Stores a task's changed standing and returns the updated job."""
        job = job._replace(standings=job.standings.set(name, standing))
        self.pushed_jobs = self.pushed_jobs.set(job.identity, job)
        return job

    def put_in_ready_queue(self, job: PushedJob, name: str) -> None:
        """Updates the position of a task's start unit in the ready queue."""
        self.ready_queue.put(job, name, self.progress.unfinished_predecessors[job.identity])

    def promote_due_units(self, time: float) -> float | None:
        """Makes the start units that are due by `time` ready. Returns when the next unit is due, or None.

        This is not part of the agreed state: each replica promotes units when it needs them.
        """
        return self.ready_queue.promote(time)

    # --- queries ----------------------------------------------------------------------
    def epoch(self, role: str) -> int:
        """The epoch of a singleton role; 0 before anyone has taken the role."""
        return self.epochs.get(role, (0, ""))[0]

    def balance(self, queue: str) -> int:
        """Credits that a queue has left: its share minus those lent to its own or other queues' tasks.

        A placed task uses the credits listed in Standing.charges, of its own or other queues, until it ends.
        """
        queue_settings = self.queue_settings.get(queue)
        share = queue_settings.share if queue_settings else 0
        return share - self.reservations.outstanding_credits.get(queue, 0)

    def find(self, ref: str) -> tuple[PushedJob, Task, Standing] | None:
        """(job, task, standing) for a task reference, or None if it is unknown or its job is archived."""
        identity, _, name = ref.partition("/")
        job = self.pushed_jobs.get(identity)
        if job is None or name not in job.tasks:
            return None
        return job, job.tasks[name], job.standings[name]

    def find_known(self, ref: str) -> tuple[PushedJob, Task, Standing]:
        """As find(), for a reference that must exist, as reserved ones do; raises AssertionError if not."""
        match = self.find(ref)
        if match is None:
            raise AssertionError(f"{ref} is not a task in the cluster state")
        return match

    def pushed_job(self, identity: str) -> PushedJob | None:
        """The pushed job with this identity, whether live, finished or archived, or None."""
        job: PushedJob | None = self.pushed_jobs.get(identity)
        if job is not None:
            return job
        image = self.archive.read(identity)
        return image_codec.job_of_image(image) if image is not None else None

    def members(self, job: PushedJob, unit: str) -> tuple[str, ...]:
        """Names of the waiting tasks of a start unit, in the order of the job's document."""
        return waiting_members(job, unit)

    def closed_reason(self, worker: str, zone: str) -> str:
        """The reason why a worker may not get new pushed tasks, or ''."""
        if worker in self.withdrawn:
            return "withdrawn"
        if worker in self.drained:
            return "draining"
        return "area emptied" if zone in self.emptied else ""

    def job_refusal(self, document: dict[str, Any], unplaceable: str = "") -> Outcome | None:
        """The outcome that refuses a checked document now, or None if the job can be accepted.

        The leader asks this before it proposes the job. `unplaceable` is the reason why no worker
        known to the leader could run the job, or ''.
        """
        return pushed_job_operations.job_refusal(self, document, unplaceable)

    def outcome_for_key(self, key: str, digest: str) -> Outcome | None:
        """The outcome of submitting a key that is already in use, or None for a new key."""
        return pushed_job_operations.known_key(self, key, digest)

    # --- attributes of the components -------------------------------------------------
    @property
    def reserved(self) -> dict[str, dict[str, int]]:
        """Worker -> {reference: units} of the tasks placed on it."""
        return self.reservations.reserved

    @property
    def used_units(self) -> dict[str, int]:
        """Queue -> units of its placed tasks."""
        return self.reservations.used_units

    @property
    def outstanding_credits(self) -> dict[str, int]:
        """Queue -> credits in use that it has lent, to its own tasks or those of other queues."""
        return self.reservations.outstanding_credits

    @property
    def yielding(self) -> dict[str, int]:
        """Reference -> attempt, for each placed task that has been asked to stop, for whatever reason."""
        return self.reservations.yielding

    @property
    def waiting_counts(self) -> dict[str, int]:
        """Queue -> number of waiting tasks, except those of unplaceable jobs."""
        return self.progress.waiting_counts

    @property
    def unplaceable(self) -> dict[str, int]:
        """Queue -> number of waiting tasks of unplaceable jobs."""
        return self.progress.unplaceable

    @property
    def live_counts(self) -> dict[str, int]:
        """Queue -> number of live pushed jobs."""
        return self.progress.live_counts

    @property
    def unfinished_predecessors(self) -> dict[str, dict[str, int]]:
        """Job -> {task: number of predecessors that are not done}."""
        return self.progress.unfinished_predecessors

    @property
    def unfinished_counts(self) -> dict[str, int]:
        """Job -> number of tasks that are not final."""
        return self.progress.unfinished_counts

    @property
    def ready_units(self) -> dict[str, dict[int, dict[Shape, list[Entry]]]]:
        """Queue -> urgency -> shape -> start units that may start now, in their starting order."""
        return self.ready_queue.ready_units

    @property
    def slots(self) -> dict[tuple[str, str], Slot]:
        """(job, start unit) -> its position in the ready queue."""
        return self.ready_queue.slots

    @property
    def promoted_until(self) -> float:
        """Time up to which due start units have been made ready."""
        return self.ready_queue.promoted_until

    # --- checking ---------------------------------------------------------------------
    def audit(self) -> None:
        """Raises AssertionError if an incrementally updated attribute differs from its recomputed value."""
        audit.audit(self)

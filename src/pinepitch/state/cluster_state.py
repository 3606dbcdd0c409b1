"""The cluster state: the deterministic state machine of the log.

apply(index, time, operation) gives an outcome, a tuple whose first element says how it went. It
reads no clock and draws no random number, so every control daemon comes to the same state.

What operations do stands in the modules *_operations.py, functions over this state, which
registry.py names; image_codec.py encodes it, audit.py checks it.
"""

from collections.abc import Sequence
from typing import Any, ClassVar, Self

import immutables

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

LIVE_STATES = ("pending", "cancelling", "failing")  # of pushed jobs


class ClusterState:
    """All that the control daemons agree on.

    Kept in the image:

    - time: seconds of the cluster's clock at the newest entry; never falls. index: of that entry.
    - pushed_jobs: identity -> PushedJob, those live and the newest finished ones; older ones are
      in archive. keys: client's key -> identity of these. count: of pushed jobs ever accepted.
      finished: pairs (identity, when it ended) in the order of their ends.
    - version, queue_configuration: those in force; queue_configurations: their history. Versions
      grow by one.
    - epochs: singleton role -> (epoch, role holder); epochs only grow.
    - drained: worker -> since when. emptied: zone -> since when. withdrawn: worker -> (when due,
      whether it is gone).
    - approval_pauses: alert -> (since, why), while it holds approvals of drafts back.
    - drafts: identity -> draft; draft_count: of drafts ever made.
    - leased_jobs: scheduling's part. level: of operations, agreed once all members knew it; never
      falls. sample: of the traffic, for rehearsals. marks: which changes were made already.

    Not in the image: sealed, the (number, bytes) of segments sealed since the daemon took them;
    and what derive() builds from the rest: queue_settings (queue -> QueueSettings), progress,
    reservations and ready_queue, whose invariants audit() checks.
    """

    actions: ClassVar[dict[str, Action]] = ACTIONS
    levels: ClassVar[dict[str, int]] = LEVELS

    def __init__(self) -> None:
        self.time = 0.0
        self.index = 0
        self.pushed_jobs: immutables.Map[str, PushedJob] = immutables.Map()
        self.keys: immutables.Map[str, str] = immutables.Map()
        self.count = 0
        self.finished: list[tuple[str, float]] = []
        self.version = 1
        self.queue_configuration: dict[str, Any] = queue_documents.first()
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
        self.sample = Sample()
        self.marks = ChangeWatermarks()
        self.ready_queue = ReadyQueue()
        self.derive()

    # --- image ------------------------------------------------------------------------
    def image(self) -> Image:
        """A value that later changes leave alone; encode() turns it to bytes."""
        return image_codec.image_of(self)

    @staticmethod
    def encode(image: Image) -> bytes:
        """The bytes of an image."""
        return image_codec.encode(image)

    @staticmethod
    def encode_with_digest(image: Image) -> EncodedImage:
        """The bytes of an image with their digest."""
        return image_codec.encode_with_digest(image)

    @classmethod
    def decode(cls, data: bytes, segments: dict[int, bytes] | None = None) -> Self:
        """The state of an image and the archive's segments that it stands on."""
        state = cls()
        image_codec.decode_into(state, data, segments)
        state.derive()
        return state

    def derive(self) -> None:
        """Builds what follows from the rest."""
        self.queue_settings: dict[str, QueueSettings] = {
            queue: queue_documents.queue_settings_of(queue_settings)
            for queue, queue_settings in self.queue_configuration["queues"].items()
        }
        self.progress = JobProgress()
        self.reservations = Reservations()
        self.ready_queue = ReadyQueue(self.ready_queue.promoted_until)
        for identity in sorted(self.pushed_jobs, key=lambda one: int(one[1:])):
            job = self.pushed_jobs[identity]
            if job.state in LIVE_STATES:
                self.add_live_job(job)

    def add_live_job(self, job: PushedJob) -> None:
        """Derives what follows from one more live job."""
        self.progress.add(job)
        units = {}
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

    # --- applying ---------------------------------------------------------------------
    def apply(self, index: int, time: float, operation: Sequence[Any]) -> Outcome:
        """The outcome of one committed operation: its name and its fields."""
        self.index = index
        self.time = max(self.time, time)
        action = self.actions.get(operation[0])
        if action is None:
            raise AssertionError(
                f"entry {index} holds {operation[0]!r}, which this version does not know: "
                "to go on without it would make another record than the cohort's"
            )
        return action.apply(self, action.decode(*operation[1:]))

    def put_job(self, job: PushedJob) -> None:
        """A pushed job is new or has changed."""
        self.pushed_jobs = self.pushed_jobs.set(job.identity, job)

    def put_standing(self, job: PushedJob, name: str, standing: Standing) -> PushedJob:
        """A task's standing has changed; the job as it is then."""
        job = job._replace(standings=job.standings.set(name, standing))
        self.pushed_jobs = self.pushed_jobs.set(job.identity, job)
        return job

    def put_in_ready_queue(self, job: PushedJob, name: str) -> None:
        """Puts the start unit of a task where it belongs now."""
        self.ready_queue.put(job, name, self.progress.unfinished_predecessors[job.identity])

    def promote_due_units(self, time: float) -> float | None:
        """Makes the start units ready whose time has come by `time`; when the next one's comes,
        or None. Not part of the agreed state: it moves with who asks.
        """
        return self.ready_queue.promote(time)

    # --- reading ----------------------------------------------------------------------
    def epoch(self, role: str) -> int:
        """The epoch of a singleton role, 0 before its first holder."""
        return self.epochs.get(role, (0, ""))[0]

    def balance(self, queue: str) -> int:
        """Credits a queue holds now: its share less what is out, lent or used itself."""
        queue_settings = self.queue_settings.get(queue)
        share = queue_settings.share if queue_settings else 0
        return share - self.reservations.outstanding_credits.get(queue, 0)

    def find(self, ref: str) -> tuple[PushedJob, Task, Standing] | None:
        """(job, task, standing) of a reference to a job not yet archived, or None."""
        identity, _, name = ref.partition("/")
        job = self.pushed_jobs.get(identity)
        if job is None or name not in job.tasks:
            return None
        return job, job.tasks[name], job.standings[name]

    def find_known(self, ref: str) -> tuple[PushedJob, Task, Standing]:
        """As find(), of a reference that is known to be there, as all reserved ones are."""
        found = self.find(ref)
        if found is None:
            raise AssertionError(f"{ref} is not there")
        return found

    def pushed_job(self, identity: str) -> PushedJob | None:
        """A pushed job, live, finished or archived, or None."""
        job: PushedJob | None = self.pushed_jobs.get(identity)
        if job is not None:
            return job
        image = self.archive.read(identity)
        return image_codec.job_of_image(image) if image is not None else None

    def members(self, job: PushedJob, unit: str) -> tuple[str, ...]:
        """The waiting tasks of a start unit, in the order of the job's document."""
        return waiting_members(job, unit)

    def closed(self, worker: str, zone: str) -> str:
        """Why a worker may get no new work, or ''."""
        if worker in self.withdrawn:
            return "withdrawn"
        if worker in self.drained:
            return "draining"
        return "area emptied" if zone in self.emptied else ""

    def job_refusal(self, plain: dict[str, Any], unplaceable: str = "") -> Outcome | None:
        """Why a checked document can't be taken now, or None; the leader asks it first.
        `unplaceable` says why no worker known to the leader could take it, or nothing.
        """
        return pushed_job_operations.job_refusal(self, plain, unplaceable)

    def known(self, key: str, digest: str) -> Outcome | None:
        """The outcome for a key seen before, or None."""
        return pushed_job_operations.known_key(self, key, digest)

    # --- what the components hold -----------------------------------------------------
    @property
    def reserved(self) -> dict[str, dict[str, int]]:
        """Worker -> {reference: units} of the tasks placed there."""
        return self.reservations.reserved

    @property
    def used_units(self) -> dict[str, int]:
        """Queue -> units of its placed tasks."""
        return self.reservations.used_units

    @property
    def outstanding_credits(self) -> dict[str, int]:
        """Queue -> credits it has lent, to others or itself."""
        return self.reservations.outstanding_credits

    @property
    def yielding(self) -> dict[str, int]:
        """Reference -> attempt of placed tasks that are to stop."""
        return self.reservations.yielding

    @property
    def waiting_counts(self) -> dict[str, int]:
        """Queue -> waiting tasks, without those of unplaceable jobs."""
        return self.progress.waiting_counts

    @property
    def unplaceable(self) -> dict[str, int]:
        """Queue -> waiting tasks of unplaceable jobs."""
        return self.progress.unplaceable

    @property
    def live_counts(self) -> dict[str, int]:
        """Queue -> live pushed jobs."""
        return self.progress.live_counts

    @property
    def unfinished_predecessors(self) -> dict[str, dict[str, int]]:
        """Job -> {task: predecessors not done}."""
        return self.progress.unfinished_predecessors

    @property
    def unfinished_counts(self) -> dict[str, int]:
        """Job -> tasks not final."""
        return self.progress.unfinished_counts

    @property
    def ready_units(self) -> dict[str, dict[int, dict[Shape, list[Entry]]]]:
        """Queue -> urgency -> shape -> start units that may start, in the order of their turn."""
        return self.ready_queue.ready_units

    @property
    def slots(self) -> dict[tuple[str, str], Slot]:
        """(job, unit) -> where it stands in the ready queue."""
        return self.ready_queue.slots

    @property
    def promoted_until(self) -> float:
        """Up to which time start units were made ready."""
        return self.ready_queue.promoted_until

    # --- checking ---------------------------------------------------------------------
    def audit(self) -> None:
        """AssertionError unless what is derived step by step equals what follows from the rest."""
        audit.audit(self)

"""The image: the encoded form of the cluster state in a snapshot.

The order of the fields is that of stored data: fields are neither moved nor taken out. Replicas that applied
the same entries encode the same bytes: hash maps (`immutables.Map`), whose order each process decides for
itself, are written in the order of their keys; plain dicts, whose order is that of the entries that filled
them and is kept by decoding, in their own.
"""

import hashlib
from typing import TYPE_CHECKING, Any, NamedTuple

import cbor2
import immutables

from ..common.canonical import sorted_by_key
from ..model.pushed_job import PushedJob
from ..model.task import Standing, Task
from ..scheduling.leased_job_state import LeasedJobState
from .archive import Archive, plain_job
from .change_watermarks import ChangeWatermarks
from .configuration_history import ConfigurationHistory
from .traffic_sample import Sample

if TYPE_CHECKING:
    from .cluster_state import ClusterState

Image = tuple[Any, ...]


class EncodedImage(NamedTuple):
    """The bytes of an image, and the digest by which members compare theirs."""

    data: bytes
    digest: str


def image_of(state: "ClusterState") -> Image:
    """The image of a state, as a value that later changes leave alone."""
    return (
        state.time,
        state.index,
        state.pushed_jobs,
        state.keys,
        state.count,
        tuple(state.finished),
        state.version,
        state.queue_configuration,
        state.queue_configurations.image(),
        dict(state.epochs),
        dict(state.drained),
        dict(state.emptied),
        dict(state.withdrawn),
        state.drafts,
        state.draft_count,
        state.marks.image(),
        state.sample.image(),
        state.archive.image(),
        dict(state.approval_pauses),
        state.leased_jobs.image(),
        state.level,
    )


def encode(image: Image) -> bytes:
    """The bytes of an image."""
    data: bytes = cbor2.dumps([_ordered(field) for field in image])
    return data


def _ordered(field: Any) -> Any:
    """A field of an image with its hash maps, and those of the jobs in it, in the order of their keys."""
    if not isinstance(field, immutables.Map):
        return field
    return {
        key: plain_job(value) if isinstance(value, PushedJob) else value
        for key, value in sorted_by_key(field).items()
    }


def digest_of(data: bytes) -> str:
    """The digest of an encoded image: SHA-256, in hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


def encode_with_digest(image: Image) -> EncodedImage:
    """The bytes of an image with their digest."""
    data = encode(image)
    return EncodedImage(data, digest_of(data))


def decode_into(state: "ClusterState", data: bytes, segments: dict[int, bytes] | None) -> None:
    """Fills a new state from the bytes of an image and the archive's segments it stands on."""
    (
        state.time,
        state.index,
        jobs,
        keys,
        state.count,
        finished,
        state.version,
        state.queue_configuration,
        queue_configurations,
        epochs,
        state.drained,
        state.emptied,
        withdrawn,
        drafts,
        state.draft_count,
        marks,
        sample,
        lines,
        approval_pauses,
        leased_jobs,
        state.level,
    ) = cbor2.loads(data)
    state.leased_jobs = LeasedJobState.from_image(leased_jobs)
    state.approval_pauses = {alert: tuple(one) for alert, one in approval_pauses.items()}
    state.archive = Archive(lines, segments)
    state.sample = Sample(sample)
    state.marks = ChangeWatermarks(*marks)
    state.pushed_jobs = immutables.Map({one: job_of_image(image) for one, image in jobs.items()})
    state.keys = immutables.Map(keys)
    state.finished = [tuple(one) for one in finished]
    state.queue_configurations = ConfigurationHistory(queue_configurations)
    state.epochs = {role: tuple(one) for role, one in epochs.items()}
    state.withdrawn = {worker: tuple(one) for worker, one in withdrawn.items()}
    state.drafts = immutables.Map(drafts)


def job_of_image(image: list[Any]) -> PushedJob:
    """The pushed job of a decoded image of it, from a snapshot or from the archive."""
    job = PushedJob(*image)
    tasks = {}
    for name, one in job.tasks.items():
        task = Task(*one)
        tasks[name] = task._replace(labels=tuple(task.labels), after=tuple(task.after))
    standings = {}
    for name, fields in job.standings.items():
        standing = Standing(*fields)
        standings[name] = standing._replace(
            charges=_pairs(standing.charges),
            placed_under=tuple(standing.placed_under),
            past=tuple((*run[:6], tuple(run[6]), _pairs(run[7])) for run in standing.past),
        )
    return job._replace(tasks=tasks, standings=immutables.Map(standings))


def _pairs(lists: Any) -> tuple[tuple[Any, ...], ...]:
    return tuple(tuple(one) for one in lists)

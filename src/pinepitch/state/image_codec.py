"""The image: the encoded form of the cluster state in a snapshot.

The order of the fields is part of the stored format: fields are never moved or removed. Replicas that
applied the same entries encode the same bytes. Hash maps (`immutables.Map`) iterate in an order that differs
between processes, so they are written in the order of their keys. Plain dicts iterate in insertion order,
which the entries determine and decoding preserves, so they are written in that order.
"""

import hashlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

import cbor2
import immutables

from ..common.canonical import sorted_by_key
from ..model.pushed_job import PushedJob
from ..model.task import Standing, Task
from ..scheduling.leased_job import BatchImages
from ..scheduling.leased_job_state import LeasedJobState
from .archive import Archive, plain_job
from .change_watermarks import ChangeWatermarks
from .configuration_history import ConfigurationHistory
from .traffic_sample import Sample

if TYPE_CHECKING:
    from .cluster_state import ClusterState

Image = tuple[Any, ...]
LEASED_JOBS_FIELD = 19  # position of the leased jobs in an image
# of RFC 8949, section 3
CBOR_ARRAY = 0x80  # the first byte of an array, without its length
CBOR_SHORTEST_LENGTHS = 24  # smaller lengths stand in the first byte
CBOR_LENGTH_SIZES = {1: 24, 2: 25, 4: 26}  # bytes of a length -> what stands for them in the first byte


class EncodedImage(NamedTuple):
    """The bytes of an image, and the digest with which members compare their images."""

    data: bytes
    digest: str


def image_of(state: "ClusterState") -> Image:
    """The image of a state: a value that later changes of the state do not affect."""
    return (
        state.time,
        state.index,
        state.pushed_jobs,
        state.keys,
        state.accepted_count,
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
        state.change_watermarks.image(),
        state.traffic_sample.image(),
        state.archive.image(),
        dict(state.approval_pauses),
        state.leased_jobs.image(expanded=False),
        state.level,
    )


def encode(image: Image) -> bytes:
    """The bytes of an image. They are made in small pieces, as the interpreter lets no other thread run while
    one piece is made.
    """
    return b"".join(_encoded_pieces(image))


def _encoded_pieces(image: Image) -> Iterator[bytes]:
    """The pieces of an encoded image."""
    yield _array_head(len(image))
    for position, field in enumerate(image):
        if position == LEASED_JOBS_FIELD:
            jobs, *others = field
            yield _array_head(len(field))
            yield _array_head(len(jobs))
            for job in jobs:
                yield from _encoded_job(job)
            yield from map(cbor2.dumps, others)
        else:
            yield cbor2.dumps(_sorted_maps(field))


def _encoded_job(job: Image) -> Iterator[bytes]:
    """The pieces of an encoded leased job."""
    yield _array_head(len(job))
    for field in job:
        if isinstance(field, BatchImages):
            yield _array_head(len(field.counts) * len(field.waiting_since))
            yield from map(cbor2.dumps, field.images())
        else:
            yield cbor2.dumps(field)


def _array_head(length: int) -> bytes:
    """The first bytes of an encoded array of so many items (RFC 8949, section 3)."""
    if length < CBOR_SHORTEST_LENGTHS:
        return bytes([CBOR_ARRAY | length])
    size = next(size for size in CBOR_LENGTH_SIZES if length < 1 << 8 * size)
    return bytes([CBOR_ARRAY | CBOR_LENGTH_SIZES[size]]) + length.to_bytes(size, "big")


def _sorted_maps(field: Any) -> Any:
    """A field of an image in which a hash map, and the hash maps of jobs in it, are dicts sorted by key."""
    if not isinstance(field, immutables.Map):
        return field
    return {
        key: plain_job(value) if isinstance(value, PushedJob) else value
        for key, value in sorted_by_key(field).items()
    }


def digest_of(data: bytes) -> str:
    """The SHA-256 digest of an encoded image, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def encode_with_digest(image: Image) -> EncodedImage:
    """The bytes of an image and their digest."""
    data = encode(image)
    return EncodedImage(data, digest_of(data))


def decode_into(state: "ClusterState", data: bytes, segments: dict[int, bytes] | None) -> None:
    """Fills a new state from the bytes of an image and the archive segments that the image refers to."""
    (
        state.time,
        state.index,
        jobs,
        keys,
        state.accepted_count,
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
        segment_summaries,
        approval_pauses,
        leased_jobs,
        state.level,
    ) = cbor2.loads(data)
    state.leased_jobs = LeasedJobState.from_image(leased_jobs)
    state.approval_pauses = {alert: tuple(pause) for alert, pause in approval_pauses.items()}
    state.archive = Archive(segment_summaries, segments)
    state.traffic_sample = Sample(sample)
    state.change_watermarks = ChangeWatermarks(*marks)
    state.pushed_jobs = immutables.Map({identity: job_of_image(image) for identity, image in jobs.items()})
    state.keys = immutables.Map(keys)
    state.finished = [tuple(pair) for pair in finished]
    state.queue_configurations = ConfigurationHistory(queue_configurations)
    state.epochs = {role: tuple(epoch) for role, epoch in epochs.items()}
    state.withdrawn = {worker: tuple(withdrawal) for worker, withdrawal in withdrawn.items()}
    state.drafts = immutables.Map(drafts)


def job_of_image(image: list[Any]) -> PushedJob:
    """The pushed job from its decoded image, as stored in a snapshot or in the archive."""
    job = PushedJob(*image)
    tasks = {}
    for name, fields in job.tasks.items():
        task = Task(*fields)
        tasks[name] = task._replace(labels=tuple(task.labels), after=tuple(task.after))
    standings = {}
    for name, standing_fields in job.standings.items():
        standing = Standing(*standing_fields)
        standings[name] = standing._replace(
            charges=_tuples(standing.charges),
            placed_under=tuple(standing.placed_under),
            past=tuple((*attempt[:6], tuple(attempt[6]), _tuples(attempt[7])) for attempt in standing.past),
        )
    return job._replace(tasks=tasks, standings=immutables.Map(standings))


def _tuples(lists: Any) -> tuple[tuple[Any, ...], ...]:
    """A list of lists as a tuple of tuples."""
    return tuple(tuple(item) for item in lists)

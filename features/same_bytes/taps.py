"""Where the code is tapped: the only module of the feature that knows the code's names.

A refactoring that renames or splits what is used here changes this module, never the golden files.
Every tap hands on bytes, or what JSON is made of; labels are read from the bytes alone.
"""

import contextlib
import os
import sys
import tempfile
from unittest import mock

import cbor2

from pinepitch.common import constants, packed_operations
from pinepitch.common.effects import PostOrder, Rehearse, Reply
from pinepitch.consensus import messages
from pinepitch.consensus.log import packed_with_size
from pinepitch.control import requests
from pinepitch.control.daemon import ControlDaemon
from pinepitch.front import routes
from pinepitch.model import contract
from pinepitch.simulation import simulator as simulators
from pinepitch.simulation.agreement import plain_image
from pinepitch.state.archive import Archive
from pinepitch.state.cluster_state import ClusterState
from pinepitch.state.registry import ACTIONS
from pinepitch.storage.store import Damaged, Store
from pinepitch.transport import framing, http, http_server

PLATFORM = os.path.join(
    os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "platform"
)
sys.path.insert(0, PLATFORM)
try:
    import adapters
    import platform_settings
finally:
    sys.path.remove(PLATFORM)

# So small that a run of some seconds seals segments, makes snapshots and sends them in pieces, and
# that a rehearsal takes a moment.
SMALL = {"FINISHED_LIVE": 4, "SEGMENT_JOBS": 4, "SNAPSHOT_ENTRIES": 60, "REPLAY_JOBS": 30}


def registered():
    """section -> the first words of every label that the code's registries ask for."""
    return {
        "frames": {
            *(kind for kind in contract.CONTRACTS if kind not in ("raft", "ask", "answer")),
            *(f"raft {kind}" for kind in {*contract.RAFT, *messages.MESSAGES}),
            *(
                f"{kind} {call}"
                for kind in ("ask", "answer")
                for call in {*contract.ARGUMENTS, *requests.REQUESTS}
            ),
        },
        "operations": set(ACTIONS),
        "answers": {
            *(f"product {method} {pattern}" for method, pattern, _ in routes.ROUTES),
            *(f"platform {method} {path}" for method, path in PLATFORM_WAYS),
        },
    }


# The platform's calls: (method, where the path begins).
PLATFORM_WAYS = (
    ("GET", adapters.READY),
    ("POST", "PREFIX/{job}"),
    ("GET", "PREFIX/{job}"),
    ("DELETE", "PREFIX/{job}"),
    ("POST", adapters.HEARTBEAT),
    ("POST", adapters.LEAVE),
    ("POST", adapters.REPLACE),
    ("POST", adapters.AMEND),
    ("GET", adapters.READ),
    ("POST", adapters.BEGIN),
    ("POST", adapters.FINISH),
)


@contextlib.contextmanager
def tapped(recorder):
    """While it lasts, the recorder gets every frame, operation, file, answer and order."""
    encode, apply, keep = framing.encode, ClusterState.apply, simulators.Disk.keep
    reply, post, rehearse = (simulators.EFFECTS[kind] for kind in (Reply, PostOrder, Rehearse))

    def tapped_encode(source, message):
        frame = encode(source, message)
        recorder.frame(frame)
        return frame

    def tapped_apply(record, index, time, operation):
        outcome = apply(record, index, time, operation)
        if recorder.records:
            recorder.operation(index, time, packed_operations.dumps(operation), outcome_bytes(outcome))
        return outcome

    def tapped_keep(disk, job):
        recorder.file(job[0], job[1])
        keep(disk, job)

    def tapped_reply(simulator, node, request, status, document, headers=(), until=None):
        recorder.reply(request, status, document, headers)
        reply(simulator, node, request, status, document, headers, until)

    def tapped_post(simulator, node, key, address, path, document):
        recorder.order(path, document)
        post(simulator, node, key, address, path, document)

    def tapped_rehearse(simulator, node, *work):
        with recorder.paused():  # a rehearsal applies operations to a record of its own
            rehearse(simulator, node, *work)

    effects = {Reply: tapped_reply, PostOrder: tapped_post, Rehearse: tapped_rehearse}
    with (
        mock.patch.object(framing, "encode", tapped_encode),
        mock.patch.object(ClusterState, "apply", tapped_apply),
        mock.patch.object(simulators.Disk, "keep", tapped_keep),
        mock.patch.dict(simulators.EFFECTS, effects),
        mock.patch.multiple(constants, **SMALL),
    ):
        yield


# --- frames and operations ------------------------------------------------------------
def outcome_bytes(outcome):
    """The outcome of an operation, which stays in its process, as bytes to compare."""
    return cbor2.dumps(outcome, default=lambda encoder, value: encoder.encode(value.image()))


def frame_of(message):
    """The frame of a scripted message."""
    return framing.encode("10.0.0.9:7000", message)


def message_of(frame):
    """The message in a frame, as plain lists."""
    return cbor2.loads(frame[framing.LENGTH.size :])[2]


def fits_contract(frame):
    """Whether the code takes a frame for one that keeps its contract."""
    return contract.fits_contract(framing.decode(frame[framing.LENGTH.size :])[1])


def frame_again(frame):
    """A frame decoded, and encoded again."""
    return framing.encode(*framing.decode(frame[framing.LENGTH.size :]))


def operation_again(data):
    """An operation that is decoded, kept as in the log, and encoded again."""
    return packed_operations.dumps(
        packed_with_size(packed_operations.unpacked(packed_operations.Packed("", data)))[0]
    )


def operation_held_encoded(data):
    """An operation that the log holds encoded, decoded and encoded again."""
    one = packed_operations.Packed(cbor2.loads(data)[0], data)
    return (
        packed_operations.dumps(packed_operations.unpacked(one))
        if packed_operations.dumps(one) == data
        else b""
    )


def scripted(operations):
    """The bytes of scripted operations, and of their outcomes, applied in turn to one record."""
    record = ClusterState()
    for platform_settings, operation in enumerate(operations):
        outcome = record.apply(platform_settings + 1, 1000.0 + platform_settings, operation)
        yield packed_operations.dumps(operation), outcome_bytes(outcome)


def applied(entries):
    """Applies the entries of a log to an empty record: (outcomes, image with its maps in order)."""
    record, outcomes = ClusterState(), []
    with mock.patch.multiple(constants, **SMALL):
        for index, time, operation in entries:
            outcomes.append(outcome_bytes(record.apply(index, time, tuple(cbor2.loads(operation)))))
    record.audit()
    return outcomes, plain_image(record)


# --- files ----------------------------------------------------------------------------
def written(kind, payload, number=1):
    """(name, bytes) of the file that the store makes of a decoded payload."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder)
        if kind == "step":
            store.version = number - 1
            store.write_step(payload)
        elif kind == "segment":
            store.write_segment(number, payload)
        else:
            store.write_base(payload, number)
        (name,) = os.listdir(folder)
        with open(os.path.join(folder, name), "rb") as file:
            return name, file.read()


def read_file(name, data):
    """The payload of a file's bytes, as the store reads it; None for one that it doesn't trust."""
    with tempfile.TemporaryDirectory() as folder:
        with open(os.path.join(folder, name), "wb") as file:
            file.write(data)
        found = Store(folder)._read(name)
        return None if isinstance(found, Damaged) else found


def file_again(name, data):
    """A file read and written again."""
    kind, _, number = name.partition("-")
    return written(kind, read_file(name, data), int(number))[1]


def folder_of(disk):
    """name -> bytes of the files of a simulated accord's data folder."""
    base, steps, segments = disk.load()
    files = [written("segment", data, number) for number, data in segments.items()]
    if base is not None:
        files.append(written("base", base, 1))
    files.extend(written("step", step, platform_settings + 2) for platform_settings, step in enumerate(steps))
    return dict(files)


def restored(files):
    """What an accord that starts on a data folder holds: (record's image with its maps in order,
    the snapshot encoded again, the segments sealed again)."""
    with tempfile.TemporaryDirectory() as folder:
        for name, data in files.items():
            with open(os.path.join(folder, name), "wb") as file:
                file.write(data)
        base, steps, segments = Store(folder).load()
    accord = ControlDaemon(base[0], "10.0.0.1:7000", "a", ())
    accord.restore(base, steps, segments)
    record = accord.cluster_state
    sealed = {}
    for number, data in sorted(segments.items()):
        tickets = [record.pushed_job(f"t{one}") for one in cbor2.loads(data)[0]]
        archive = Archive()
        sealed[number] = (data, archive.seal(tickets, 0.0)[1])
    return (
        plain_image(record),
        (accord.consensus.base_image, record.encode(record.image())),
        sealed,
    )


# --- answers --------------------------------------------------------------------------
class _Socket:
    """Takes what is sent."""

    def __init__(self):
        self.sent = b""

    async def sendall(self, data):
        self.sent += data


def answer_bytes(status, document, headers):
    """The whole answer as a daemon writes it to a connection."""
    socket = _Socket()
    server = http_server.Server(socket)
    server.connection.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    server.connection.next_event(), server.connection.next_event()
    try:
        server.answer(http.Response(status, document, tuple(headers))).send(None)
    except StopIteration:
        pass
    return socket.sent


def platform_door(name, address):
    """A door of the platform by the name of its port."""
    return {"front": adapters.Front, "readiness": adapters.Readiness}.get(
        name, lambda: adapters.Control(address)
    )()


def platform_read(door, method, target, headers, body):
    """((call, arguments, patience), None), or (None, the answer that needs no call)."""
    made = door.read(http.Request(method, target, headers, body))
    return (None, made) if isinstance(made, http.Response) else (made, None)


def platform_write(door, call, status, document, headers):
    """(status, document, headers) in the platform's words."""
    return tuple(door.write(call, http.Response(status, document, tuple(headers))))


def settings(program, values):
    """What the platform's settings file says: [the place of a process or None, the faults in order]."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write("".join(f"{name}={value}\n" for name, value in values.items()))
        found, faults = platform_settings.read(program, path)
    return [found and [list(one) if isinstance(one, tuple) else one for one in found], sorted(faults)]

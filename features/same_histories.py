"""Digests of what happens in the deterministic simulators, to see that a change of form changes nothing.

A digest is made only of what stays through renames and moves of code: simulated times, the numbers of
events, the frames and documents that go over the simulated wire, the bytes that become durable, the
status codes of answers, and the encoded images of the record. No name of Python and no text of a log
is in it. The few places where the simulators are tapped are the functions under "taps".

    python -m features.same_histories             compares all with features/data/histories.json
    python -m features.same_histories --write     writes that file anew
    python -m features.same_histories --tell fleets/calm/0 ...   prints digests of some histories

They run from the root of the repository with src on the path. The file is only ever written anew on a
commit that changes behaviour on purpose, and that commit says which behaviour it is and why.
"""

import contextlib
import hashlib
import json
import pathlib
import sys
import types
from unittest import mock

import cbor2

from pinepitch.common import constants, packed_operations
from pinepitch.consensus import messages
from pinepitch.simulation import client_calls, daemon_calls, leased_job_trial, pushed_job_trial
from pinepitch.simulation import simulator as simulators
from pinepitch.simulation.agreement import plain_image
from pinepitch.simulation.jobs import fleet as job_fleets
from pinepitch.simulation.model_checker import fleets as model_fleets
from pinepitch.simulation.model_checker import schedule, search
from pinepitch.simulation.second_loss import registry as second_loss
from pinepitch.transport import framing

EXPECTED = pathlib.Path(__file__).parent / "data" / "histories.json"
SHOWN = 16  # hexadecimal digits of each digest; two that differ are alike once in 2**64
FLEET_SECONDS, NINE_SECONDS, JOB_SECONDS = 7.0, 4.5, 7.0  # virtual; a longer trial is compared up to here
FREQUENT_SNAPSHOTS = {"SNAPSHOT_ENTRIES": 100, "SNAPSHOT_TAIL": 20, "SNAPSHOT_CHUNK": 2_000}
LOSSES = 30  # trials of second losses: each in turn, but for the longest, which are tried once
LONGEST_LOSSES = ("change-struck", "snapshot-struck", "founding-struck")
SCHEDULES = 32  # seeds of schedules of the consensus model
SEARCH_BOUNDS = model_fleets.Bounds(4, 200)  # depth and states of each search of a model
SEARCH_WALKS = 2  # random schedules after each search
# Scenarios that came later stand behind all others, so that those keep their seeds.
LATER_JOB_SCENARIOS = ("tenants-leave-first", "ends-beyond-list", "cancelled-early")
JOB_SCENARIOS = [
    *(
        name
        for name in (*leased_job_trial.SCENARIOS, *leased_job_trial.CONTROL_SCENARIOS)
        if name not in LATER_JOB_SCENARIOS
    ),
    *LATER_JOB_SCENARIOS,
]
SCALARS = (int, float, str, bool, type(None))
CONTAINERS = (4, 5)  # major types of cbor: arrays and maps
PARTS = ("times", "frames", "documents", "disks", "events", "images")


class Ended(BaseException):
    """A history was recorded as far as it is compared. No Exception, as trials report those."""


def plain(value):
    """The same value, but for bytes: those that hold one encoded list or map stand for what they hold, so
    that the order of its maps, which a process's hashing may decide, is left out when it is noted. Other
    bytes, as the pieces of a snapshot, stand for their length alone."""
    if type(value) in SCALARS:
        return value
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [one if type(one) in SCALARS else plain(one) for one in value]
    if isinstance(value, bytes):
        held = _decoded(value)
        return len(value) if held is None else plain(held)
    return value


def _decoded(data):
    """The list or map that is all of these bytes, or None."""
    if not data or data[0] >> 5 not in CONTAINERS:
        return None
    try:
        held = cbor2.loads(data)
    except cbor2.CBORDecodeError:
        return None
    return held if len(cbor2.dumps(held)) == len(data) else None


class RecordedHistory:
    """What was recorded of one history. Invariants: each part's digest is of all values that were
    noted; `fleets` holds the simulators in the order in which they began."""

    def __init__(self, seconds=None):
        self.seconds = seconds  # virtual seconds after which it ends; None for no such bound
        self.parts = {part: hashlib.sha256() for part in PARTS}
        self.fleets = []
        self.event_numbers = set()

    def note(self, part, *values):
        """Adds values to a part's digest, encoded with maps in the order of their keys."""
        self.parts[part].update(cbor2.dumps(values, canonical=True))

    def digests(self):
        """part -> the digest of it."""
        return {part: digest.hexdigest()[:SHOWN] for part, digest in self.parts.items()}


# --- taps: what a history records of the simulators ----------------------------------------
@contextlib.contextmanager
def fleet_taps(history):
    """Records in `history` what simulated fleets do meanwhile, and in the end what they hold."""
    schedule_event, keep, encode = simulators.Simulator.at, simulators.Disk.keep, framing.encode

    def tapped_schedule(simulator, delay, *event):
        """Notes when what happens next is due, at which node, and its numbers, among them status codes."""
        if not any(simulator is one for one in history.fleets):
            history.fleets.append(simulator)
        if history.seconds is not None and simulator.now > history.seconds:
            raise Ended
        numbers = [one for one in event[1:] if type(one) in (int, float)]
        names = [one for one in event[1:] if isinstance(one, str) and one in simulator.nodes]
        history.note("times", simulator.now, float(delay), *numbers, *names)
        return schedule_event(simulator, delay, *event)

    def tapped_keep(disk, job):
        """Notes the bytes that become durable."""
        history.note("disks", plain(job[1]))
        return keep(disk, job)

    def tapped_encode(source, message):
        """Notes a frame between daemons."""
        frame = encode(source, message)
        history.note("frames", len(frame), plain(frame[framing.LENGTH.size :]))
        return frame

    def tapped_document(document, **how):
        """Notes a document of a call, of an order or of an answer."""
        text = json.dumps(document, **how)
        history.note("documents", len(text), json.dumps(json.loads(text), sort_keys=True))
        return text

    documents = types.SimpleNamespace(dumps=tapped_document, loads=json.loads)
    with (
        mock.patch.object(simulators.Simulator, "at", tapped_schedule),
        mock.patch.object(simulators.Disk, "keep", tapped_keep),
        mock.patch.object(framing, "encode", tapped_encode),
        mock.patch.object(simulators, "json", documents),
        mock.patch.object(client_calls, "json", documents),
        mock.patch.object(job_fleets, "json", documents),
        mock.patch.object(daemon_calls, "json", documents),
        contextlib.suppress(Ended),
    ):
        yield
    for simulator in history.fleets:
        _note_end(history, simulator)


def _note_end(history, simulator):
    """Notes the events that a fleet told, what its disks hold and the images of its records."""
    for moment, name, number, _fields in simulator.trace:
        history.note("events", moment, name, number)
        history.event_numbers.add(number)
    for name, node in sorted(simulator.nodes.items()):
        if node.disk is None:
            continue
        history.note("disks", name, plain(node.disk.base or b""), plain(node.disk.steps))
        for number, segment in sorted(node.disk.segments.items()):
            history.note("disks", number, segment)
        if node.core is not None:
            record = node.core.cluster_state
            history.note("images", name, record.index, plain_image(record))


def note_model(history, world):
    """Notes all messages that a model's fleet ever sent, as frames, and what its disks hold."""
    for sent in world.post.messages:
        frame = framing.encode(sent.sender, messages.encode(sent.message))
        history.note("frames", sent.receiver, plain(frame[framing.LENGTH.size :]))
    for identity, replica in sorted(world.replicas.items()):
        history.note("disks", identity, plain(packed_operations.dumps(replica.disk)))


# --- the histories ------------------------------------------------------------------------
def _fleet_history(fault_scenario, seed):
    """A fleet of the product under a fault scenario; snapshots are frequent for odd seeds."""
    nine = seed % 10 == 9
    history = RecordedHistory(NINE_SECONDS if nine else FLEET_SECONDS)
    fleet, mode = (
        ("nine", "dynamic")
        if nine
        else (pushed_job_trial.IN_TURN[seed % len(pushed_job_trial.IN_TURN)], "static")
    )
    with _frequent_snapshots(seed % 2 == 1), fleet_taps(history):
        pushed_job_trial.trial(fault_scenario, seed, fleet, mode)
    return history


def _job_history(scenario, seed):
    """A fleet that runs jobs under leases in a scenario; snapshots are frequent for odd seeds."""
    history = RecordedHistory(JOB_SECONDS)
    with _frequent_snapshots(seed % 2 == 1), fleet_taps(history):
        leased_job_trial.trial(scenario, seed)
    return history


def _frequent_snapshots(wanted):
    if not wanted:
        return contextlib.nullcontext()
    return mock.patch.multiple(constants, **FREQUENT_SNAPSHOTS)


def _loss_history(name, seed):
    """A trial of second losses, to its end."""
    history = RecordedHistory()
    with fleet_taps(history):
        second_loss.TRIALS[name](seed)
    return history


def _schedule_history(_name, seed):
    """A schedule of the consensus model with clocks, and whether its fleet serves again in the end."""
    history = RecordedHistory()
    run = schedule.drawn_run(seed)
    served = run.serves_again(seed)
    history.note("times", run.leased, run.state.time, {None: 2, False: 0, True: 1}[served])
    for term, leader in run.state.leaders:
        history.note("events", term, leader)
    history.note("images", len(run.state.committed))
    note_model(history, run.state)
    return history


def _search_history(name, seed):
    """A search of a model of the registry: how much it saw and all messages of all its states."""
    history = RecordedHistory()
    start, every, walks = search.search(name, SEARCH_BOUNDS, SEARCH_WALKS)
    for outcome in (every, walks):
        history.note("events", outcome.states, outcome.steps, outcome.depth, int(outcome.complete))
    note_model(history, start)
    return history


def _in_turn(names, count):
    """(name, seed) pairs of that many seeds, the names in turn."""
    return [(names[seed % len(names)], seed) for seed in range(count)]


# simulator -> (what records a history of it, the histories)
SIMULATORS = {
    "fleets": (
        _fleet_history,
        _in_turn(list(pushed_job_trial.FAULT_SCENARIOS), len(pushed_job_trial.FAULT_SCENARIOS)),
    ),
    "jobs": (
        _job_history,
        _in_turn(
            JOB_SCENARIOS,
            len(JOB_SCENARIOS),
        ),
    ),
    "second-losses": (
        _loss_history,
        [
            (name, seed)
            for name, seed in _in_turn(list(second_loss.TRIALS), 2 * LOSSES)
            if seed < len(second_loss.TRIALS) or name not in LONGEST_LOSSES
        ][:LOSSES],
    ),
    "schedules": (_schedule_history, _in_turn(["drawn"], SCHEDULES)),
    "searches": (
        _search_history,
        _in_turn(list(model_fleets.MODELS), len(model_fleets.MODELS)),
    ),
}


def labels(simulator):
    """The labels of a simulator's histories, as SIMULATOR/NAME/SEED."""
    return [f"{simulator}/{name}/{seed}" for name, seed in SIMULATORS[simulator][1]]


def recorded(label):
    """The history of that label."""
    simulator, name, seed = label.split("/")
    return SIMULATORS[simulator][0](name, int(seed))


def expected():
    """label -> part -> digest, as committed."""
    return json.loads(EXPECTED.read_text())


def differences(found, wanted):
    """What differs between two sets of digests, one line for each history."""
    lines = [f"{label} is not in both" for label in sorted(set(found) ^ set(wanted))]
    for label in sorted(set(found) & set(wanted)):
        parts = [part for part in PARTS if found[label].get(part) != wanted[label].get(part)]
        if parts:
            lines.append(f"{label} differs in {', '.join(parts)}")
    return lines


def main(arguments):
    """Compares, writes or tells digests; the exit code."""
    if arguments[:1] == ["--tell"]:
        print(json.dumps({label: recorded(label).digests() for label in arguments[1:]}))
        return 0
    found = {label: recorded(label).digests() for simulator in SIMULATORS for label in labels(simulator)}
    if arguments == ["--write"]:
        EXPECTED.write_text(json.dumps(found, indent=1) + "\n")
        return 0
    lines = differences(found, expected())
    print("\n".join(lines) or f"all {len(found)} histories are the same")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Steps for Incarnations: a follower that is started again while a snapshot is sent to it."""

from unittest import mock

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.consensus import replication
from pinepitch.consensus.effects import InstallSnapshot, SaveBase, SendMessage
from pinepitch.consensus.follower import Follower
from pinepitch.consensus.messages import SnapshotChunk
from pinepitch.consensus.replica import Consensus

MEMBERS = {"leader": "a", "follower": "b", "other": "c"}
SEGMENTS = {number: bytes([number]) * 40 for number in range(1, 7)}
CHUNK_SIZES = {"one piece": 100_000, "many pieces": 20}
TERM, SNAPSHOT_INDEX = 3, 900


class Segments:
    """The part of an archive that consensus uses. Invariant: contains all segments up to `sealed`."""

    def __init__(self, sealed):
        self.sealed = sealed

    def segment(self, number):
        return SEGMENTS[number] if number <= self.sealed else None


def member(identity, sealed):
    consensus = Consensus(identity, 1, MEMBERS)
    consensus.archive = Segments(sealed)
    consensus.term = consensus.last_known_term = TERM
    return consensus


class Transfer:
    """A leader and a follower that hear each other at once; what they save is durable at once."""

    def __init__(self, chunk_size):
        self.now, self.installed = 10.0, None
        self.chunk_size = chunk_size
        self.last_answer = None
        self.leader = member("leader", len(SEGMENTS))
        self.leader.base_index, self.leader.base_term = SNAPSHOT_INDEX, TERM - 1
        self.leader.base_image, self.leader.base_segments = b"image", (1, len(SEGMENTS))
        self.leader.log.clear(SNAPSHOT_INDEX + 1)
        self.leader.role = "leader"
        self.leader.followers = {"follower": Follower(SNAPSHOT_INDEX, self.now)}
        self.leader.followers["follower"].next_index = 1
        self.follower = member("follower", 5)

    def run(self, effects, chunks=1_000):
        """Carries what the leader sends to the follower and back, until so many pieces were taken."""
        queue = list(effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, InstallSnapshot):
                self.installed = effect
            elif isinstance(effect, SaveBase):
                queue.extend(self.follower.saved(effect.sequence, self.now))
            elif isinstance(effect, SendMessage) and effect.receiver == "follower":
                if isinstance(effect.message, SnapshotChunk) and effect.message.offset >= 0:
                    chunks -= 1
                    if chunks < 0:
                        return
                queue.extend(self.follower.step("leader", effect.message, self.now))
            elif isinstance(effect, SendMessage) and effect.receiver == "leader":
                self.last_answer = effect.message
                queue.extend(self.leader.step("follower", effect.message, self.now))

    def resend(self):
        """The leader sends again what was not answered."""
        self.now += 2 * constants.APPEND_RESEND
        replication.replicate(self.leader, "follower", self.now)
        return self.leader.take_effects(self.now)


@given("a leader that sends a follower a snapshot in {chunks}, without the segments that it holds")
def step_snapshot(context, chunks):
    context.transfer = Transfer(CHUNK_SIZES[chunks])


@when("the follower is started again after {taken:d} pieces and holds fewer segments by then")
def step_again(context, taken):
    transfer = context.transfer
    with mock.patch.object(constants, "SNAPSHOT_CHUNK", transfer.chunk_size):
        transfer.run(transfer.resend(), taken)
    assert transfer.last_answer is not None and transfer.installed is None
    transfer.follower = member("follower", 2)


@when("what its former incarnation answered last arrives again")
def step_former_answer(context):
    transfer = context.transfer
    with mock.patch.object(constants, "SNAPSHOT_CHUNK", transfer.chunk_size):
        transfer.run(transfer.resend(), 2)
        transfer.run(transfer.leader.step("follower", transfer.last_answer, transfer.now))


@then("the follower installs the snapshot with all of its segments")
def step_installed(context):
    transfer = context.transfer
    with mock.patch.object(constants, "SNAPSHOT_CHUNK", transfer.chunk_size):
        for _ in range(10):
            transfer.run(transfer.resend())
    assert transfer.installed is not None, "nothing was installed"
    stored = {number: SEGMENTS[number] for number in range(1, transfer.follower.archive.sealed + 1)}
    assert {**stored, **transfer.installed.segments} == SEGMENTS, transfer.installed
    assert transfer.leader.followers["follower"].match_index == SNAPSHOT_INDEX

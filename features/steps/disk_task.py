"""Steps for Disk task: the runtime's task that owns the data folder, with a store in memory."""

import inspect

import curio
from behave import given, then, when

from pinepitch.common import effects
from pinepitch.common.effects import EncodeSnapshot, SaveChange, WriteBase, WriteSegment
from pinepitch.consensus import effects as consensus_effects
from pinepitch.consensus import messages
from pinepitch.model import decisions
from pinepitch.runtime import disk_task
from pinepitch.runtime.disk_task import DiskTask, MembershipWrite
from pinepitch.state import operations

PATIENCE = 5.0  # seconds; until what a task was asked for must be done
PLAIN_MODULES = (effects, consensus_effects, messages, decisions, operations, disk_task)


class StoreInMemory:
    """Keeps what a store would write, in order."""

    version = 4

    def __init__(self):
        self.written = []

    def write_step(self, batch):
        """A file of saves and notes."""
        self.written.append(("step", list(batch)))

    def write_segment(self, number, data):
        """A file of the archive."""
        self.written.append(("segment", number, data))

    def write_base(self, payload, version):
        """A file that takes the place of all before it."""
        self.written.append(("base", payload, version))


def run(context, jobs, told):
    """Gives a DiskTask jobs; returns the messages to the decider once there are `told` of them."""

    async def do():
        inbox = curio.Queue()
        task = DiskTask(context.store, inbox, lambda image: repr(image).encode())
        async with curio.TaskGroup() as group:
            for job in jobs:
                await task.add(job)
            await group.spawn(task.run)
            await group.spawn(task.run_background)
            context.told = [await inbox.get() for _ in range(told)]
            context.waited_for = [job for job in jobs if isinstance(job, MembershipWrite)]
            for write in context.waited_for:
                await write.done.wait()
            await group.cancel_remaining()

    async def bounded():
        await curio.timeout_after(PATIENCE, do)

    curio.run(bounded)


@given("a disk task beside a store that keeps what it is given")
def step_store(context):
    context.store = StoreInMemory()


@when("an image of the entries up to {index:d} is to be encoded")
def step_encode(context, index):
    run(context, [EncodeSnapshot(index, ("image",))], 1)


@then('the decider is told "encoded" with {index:d} and the bytes')
def step_encoded(context, index):
    assert context.told == [("encoded", index, b"('image',)")], context.told


@when("saves 1 and 2 with a note between them are to be written")
def step_saves(context):
    run(
        context, [SaveChange(1, "first"), MembershipWrite(curio.Event(), "noted"), SaveChange(2, "second")], 1
    )


@then("one file holds the first save, the note and the second save")
def step_one_file(context):
    assert context.store.written == [("step", [["raft", "first"], ["note", "noted"], ["raft", "second"]])], (
        context.store.written
    )


@then('the decider is told "saved" with {sequence:d}')
def step_saved(context, sequence):
    assert context.told == [("saved", sequence)], context.told


@then("whoever waits for the note goes on")
def step_noted(context):
    assert [write.done.is_set() for write in context.waited_for] == [True]


@when("a segment and a base for save 3 are to be written")
def step_base(context):
    run(context, [WriteSegment(1, b"segment"), WriteBase(3, ["payload"])], 1)


@then("the store holds the segment, then the base")
def step_in_order(context):
    assert context.store.written == [("segment", 1, b"segment"), ("base", ["payload"], 4)], (
        context.store.written
    )


@then("none of the typed effects and messages has a field named as a method of tuples")
def step_fields(context):
    methods = {name for name in dir(tuple) if not name.startswith("_")}
    checked = 0
    for module in PLAIN_MODULES:
        for name, one in inspect.getmembers(module, inspect.isclass):
            fields = getattr(one, "_fields", None)
            if fields is not None:
                checked += 1
                assert not methods & set(fields), (module.__name__, name, fields)
    assert checked > 40, checked

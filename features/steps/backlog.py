"""Steps for Log: members that start again with a backlog to apply, counted in steps and ticks."""

import collections

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.effects import SaveChange
from pinepitch.consensus.effects import CommitEntries, LogEvent, SendMessage
from pinepitch.consensus.log import packed_with_size
from pinepitch.consensus.messages import AppendEntries
from pinepitch.consensus.replica import Consensus

NAMES = {"a": "north", "b": "south", "c": "west"}


class Restarted:
    """Members with equal logs, of which nothing is known to be committed; messages and saves take no time."""

    def __init__(self, count, size):
        self.now, self.queue = 10.0, collections.deque()
        self.applied = {name: [] for name in NAMES}  # entries of each commit of a step
        self.beats, self.events = [], []  # when the leader sent heartbeats; (when, name, number)
        entries = [(1, 0.0, ("filler", place, "x" * size)) for place in range(count)]
        self.members = {}
        for name in NAMES:
            member = self.members[name] = Consensus(name, 5, NAMES, "static")
            member.restore(None, [[[1, "a", 1, {}], None, 1, entries]])

    def run(self, ticks):
        for _ in range(ticks):
            self.now += constants.TICK
            for name, member in self.members.items():
                self._take(name, member.tick(self.now))
            self._deliver()

    def _deliver(self):
        while self.queue:
            sender, receiver, message = self.queue.popleft()
            self._take(receiver, self.members[receiver].step(sender, message, self.now))

    def _take(self, name, effects):
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.queue.append((name, effect.receiver, effect.message))
                if isinstance(effect.message, AppendEntries):
                    self.beats.append(self.now)
            elif isinstance(effect, SaveChange):
                self._take(name, self.members[name].saved(effect.sequence, self.now))
            elif isinstance(effect, CommitEntries):
                self.applied[name].append(effect.entries)
            elif isinstance(effect, LogEvent):
                self.events.append((self.now, name, effect.number))

    def leader(self):
        return next((one for one in self.members.values() if one.role == "leader"), None)


@given("{count:d} members that lost power with {entries:d} entries of {size:d} bytes since their base")
def step_lost(context, count, entries, size):
    assert count == len(NAMES)
    context.restarted = Restarted(entries, size)
    by_bytes = max(1, constants.COMMIT_BYTES // size)
    context.slices = -(-entries // min(constants.COMMIT_ENTRIES, by_bytes))


@given("3 members that lost power with as many small entries as come between two bases")
def step_lost_between(context):
    context.restarted = Restarted(constants.SNAPSHOT_ENTRIES, 40)


@when("they start again and one of them leads")
def step_start(context):
    restarted = context.restarted
    while restarted.leader() is None:
        restarted.run(1)
        assert restarted.now < 15, "nobody leads"
    context.led_at = restarted.now
    ticks = 0
    while any(member.applied_index < member.last_index() for member in restarted.members.values()):
        restarted.run(1)
        ticks += 1
        assert ticks < 500, "the backlog is never applied"
    context.ticks = ticks


@then("no step applied more than a slice, and it took no more ticks than slices and {more:d}")
def step_slices(context, more):
    restarted = context.restarted
    # every slice but one of a single entry keeps both bounds
    for applied in restarted.applied.values():
        for entries in applied:
            size = sum(packed_with_size(operation)[1] for _, _, operation in entries)
            small = len(entries) <= constants.COMMIT_ENTRIES and size <= constants.COMMIT_BYTES
            assert small or len(entries) == 1, (len(entries), size)
    # followers hear of each slice with a heartbeat
    heartbeat = constants.HEARTBEAT / constants.TICK
    assert context.ticks <= context.slices + more + heartbeat, (context.ticks, context.slices)


@then("the leader sent every heartbeat in its time, and nobody else stood for an election")
def step_heartbeats(context):
    restarted = context.restarted
    gaps = [later - earlier for earlier, later in zip(restarted.beats, restarted.beats[1:], strict=False)]
    assert max(gaps, default=0) <= constants.HEARTBEAT + 2 * constants.TICK, max(gaps)
    assert [number for at, _, number in restarted.events if at > context.led_at] == [], restarted.events


@then("all was applied within {most:d} ticks")
def step_ticks(context, most):
    assert context.ticks <= most, context.ticks

"""Schedules of a fleet with clocks: what goes wrong and when, in coarse steps.

The rest goes on as in a real fleet: clocks tick, messages arrive at once where no cut holds
them, the leader lets newcomers in. Who draws the events is no matter of this module.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from ...consensus.roles import LEADER
from . import invariants
from .actions import Action, TimedBudget
from .faults import conditions
from .fleets import FAST, FIVE, NINE, SLOW, THREE
from .model import Fleet
from .replica import Draw, frozen, machine_of
from .timed import TimedModelState

MESSAGES_MOST = 400  # messages; delivered between two waits, a storm beyond that is a fault itself
RECOVERY = 80  # quanta; within which an election, a joint change and another election are over
COMMIT = 10  # quanta; within which a leader commits what was proposed
WIPES_MOST = 3  # in one schedule
ENDLESS = TimedBudget(*([10**9] * len(TimedBudget._fields)))


class Event(NamedTuple):
    """One thing that happens. `first` and `second` count the daemons; `quanta` pass afterwards."""

    kind: str
    first: int
    second: int
    quanta: int


class Run:
    """A schedule under way. Invariants: `seed` decides all spreads; every state was checked."""

    def __init__(
        self,
        members: dict[str, str],
        spares: dict[str, str],
        mode: str,
        rates: dict[str, float],
        seed: int,
        segments: bool = False,
    ) -> None:
        draws: dict[str, Draw] = {one: random.Random(f"{one}-{seed}") for one in (*members, *spares)}
        fleet = Fleet(members, spares, mode, ENDLESS, draws=draws, segments=segments, rates=rates)
        self.state = TimedModelState(fleet, rates)
        self.partitions: set[frozenset[str]] = set()  # (machine, machine) whose messages wait
        self.leased = 0  # states, one a wait, in which a leader had its lease
        self.wipes = 0

    def machines(self) -> list[str]:
        """The machines, in order; a wiped one keeps its name."""
        return sorted({machine_of(one) for one in self.state.replicas})

    def identity(self, number: int) -> str:
        """The daemon that runs on the machine of that number."""
        machines = self.machines()
        machine = machines[number % len(machines)]
        return next(one for one in sorted(self.state.replicas) if machine_of(one) == machine)

    def step(self, kind: str, subject: Any, detail: Any = None) -> None:
        """One checked step of the state."""
        after = self.state.step(Action(kind, subject, detail))
        after.check(self.state)
        self.state = after

    def happen(self, event: Event) -> None:
        """An event and the time after it."""
        EVENTS[event.kind](self, event)
        for _ in range(event.quanta):
            self.deliver()
            self.tend_members()
            self.step("wait", "")
            self.leased += any(self._leased(identity) for identity in self.state.replicas)

    def _leased(self, identity: str) -> bool:
        consensus = self.state.replicas[identity].consensus
        return consensus.role == LEADER and consensus.leased(self.state.now(identity))

    def deliver(self) -> None:
        """All messages that no cut and no stopped daemon holds back."""
        for _ in range(MESSAGES_MOST):
            number = next((one for one in sorted(self.state.messages) if self._passes(one)), None)
            if number is None:
                return
            self.step("deliver", number)
        raise AssertionError("messages never end")

    def _passes(self, number: int) -> bool:
        message = self.state.post.messages[number]
        ends = frozenset((machine_of(message.sender), machine_of(message.receiver)))
        return ends not in self.partitions and message.receiver not in self.state.frozen

    def tend_members(self) -> None:
        """Lets newcomers in, in the place of a daemon that the same machine ran before."""
        for leader in self.state.leaders_by_themselves():
            if leader in self.state.frozen:
                continue
            consensus = self.state.replicas[leader].consensus
            members = consensus.membership.members()
            for identity in sorted(self.state.replicas):
                if identity not in members and identity not in consensus.followers:
                    self.step("learn", leader, identity)
                elif identity not in members and consensus.caught_up(identity):
                    former = next((one for one in members if machine_of(one) == machine_of(identity)), None)
                    if former is not None:
                        self.change(leader, former, identity)

    def change(self, leader: str, leaver: str, newcomer: str) -> None:
        """Replaces a member, if the leader may now."""
        members = self.state.replicas[leader].consensus.membership.now.members
        zone = self.state.replicas[newcomer].zone
        coming = {**{one: place for one, place in members.items() if one != leaver}, newcomer: zone}
        self.step("change", leader, tuple(sorted(coming.items())))

    def serves_again(self, lost: int) -> bool | None:
        """Whether a proposal is committed once all is well again but for one machine that stays away,
        by its number; None if those that are left can't elect a leader.
        """
        self.happen(Event("heal anew", 0, 0, 0))
        self.happen(Event("thaw", 0, 0, 0))
        away = self.identity(lost)
        if not self._quorum_left(away):
            return None
        self.step("freeze", away)
        self.happen(Event("nothing", 0, 0, RECOVERY))
        committed = len(self.state.committed)
        self.happen(Event("propose", 0, 0, COMMIT))
        return len(self.state.committed) > committed

    def _quorum_left(self, away: str) -> bool:
        """Whether those that have their disks, but for one, may elect a leader by their newest list."""
        logs = {one: log for one, log in self.state.logs.items() if one != away}
        newest = max(logs.values(), key=lambda log: (log.term_at(log.last_index()), log.last_index()))
        image = frozen(newest.membership.image())
        return invariants.wins(image, frozenset(logs) & frozenset(newest.membership.members()))

    # --- events -----------------------------------------------------------------------
    def _nothing(self, event: Event) -> None:
        pass

    def _partition(self, event: Event) -> None:
        """Messages between two machines wait."""
        self.partitions.add(
            frozenset((machine_of(self.identity(event.first)), machine_of(self.identity(event.second))))
        )

    def _isolate(self, event: Event) -> None:
        """Messages of one machine wait."""
        lost = machine_of(self.identity(event.first))
        self.partitions |= {frozenset((lost, other)) for other in self.machines() if other != lost}

    def _heal(self, event: Event) -> None:
        """What waited arrives, late."""
        self.partitions.clear()

    def _heal_anew(self, event: Event) -> None:
        """What waited is lost, links begin anew."""
        for number in sorted(self.state.messages):
            if not self._passes(number):
                self.step("lose", number)
        self.partitions.clear()

    def _freeze(self, event: Event) -> None:
        identity = self.identity(event.first)
        if identity not in self.state.frozen:
            self.step("freeze", identity)

    def _thaw(self, event: Event) -> None:
        for identity in sorted(self.state.frozen):
            self.step("thaw", identity)

    def _restart(self, event: Event) -> None:
        self.step("restart", self.identity(event.first))

    def _wipe(self, event: Event) -> None:
        if self.wipes < WIPES_MOST:
            self.wipes += 1
            self.step("wipe", self.identity(event.first))

    def _propose(self, event: Event) -> None:
        for leader in self.state.leaders_by_themselves():
            if leader not in self.state.frozen:
                self.step("propose", leader)

    def _read(self, event: Event) -> None:
        for leader in self.state.leaders_by_themselves():
            if leader not in self.state.frozen:
                self.step("read", leader)

    def _transfer_leadership(self, event: Event) -> None:
        for leader in self.state.leaders_by_themselves():
            if leader not in self.state.frozen:
                self.step("hand over", leader, self.identity(event.first))

    def _replace(self, event: Event) -> None:
        """A leader swaps a member for a spare that follows; in dynamic mode one of its zone, as a control
        daemon does: a group of two needs both votes.
        """
        for leader in self.state.leaders_by_themselves():
            consensus = self.state.replicas[leader].consensus
            zones = consensus.membership.members()
            members = sorted(zones)
            ready = [one for one in sorted(consensus.learners) if consensus.caught_up(one)]
            ready = [one for one in ready if one in self.state.replicas]
            if ready and leader not in self.state.frozen:
                newcomer = ready[event.second % len(ready)]
                if consensus.membership.now.mode == "dynamic":
                    zone = self.state.replicas[newcomer].zone
                    members = [one for one in members if zones[one] == zone]
                self.change(leader, members[event.first % len(members)], newcomer)

    def _compact(self, event: Event) -> None:
        identity = self.identity(event.first)
        consensus = self.state.replicas[identity].consensus
        if consensus.applied_index > consensus.base_index:
            self.step("compact", identity)


# The registry of events: kind -> what happens.
EVENTS = {
    "nothing": Run._nothing,
    "cut": Run._partition,
    "cut off": Run._isolate,
    "heal": Run._heal,
    "heal anew": Run._heal_anew,
    "freeze": Run._freeze,
    "thaw": Run._thaw,
    "restart": Run._restart,
    "wipe": Run._wipe,
    "propose": Run._propose,
    "read": Run._read,
    "hand over": Run._transfer_leadership,
    "replace": Run._replace,
    "compact": Run._compact,
}


BEGINNING = Event("nothing", 0, 0, 20)  # time for a first election
EVENTS_EACH = 20  # events; of a schedule drawn from a seed
SHAPES: tuple[tuple[dict[str, str], dict[str, str], str], ...] = (
    (THREE, {}, "static"),
    (THREE, {"d": "west"}, "static"),
    (FIVE, {"f": "west"}, "single"),
)


def drawn_run(seed: int) -> Run:
    """A schedule drawn from a seed, run to its end."""
    draw = random.Random(f"schedule-{seed}")
    members, spares, mode = draw.choice(SHAPES)
    rates = {one: draw.choice((SLOW, 1.0, FAST)) for one in (*members, *spares)}
    with conditions(Fleet(members)):
        run = Run(members, spares, mode, rates, seed)
        run.happen(BEGINNING)
        for _ in range(EVENTS_EACH):
            kind = draw.choice(list(EVENTS))
            run.happen(Event(kind, draw.randrange(6), draw.randrange(6), draw.randrange(8)))
    return run


ARCHIVE_SHAPES: tuple[tuple[dict[str, str], dict[str, str], str], ...] = (
    (THREE, {"d": "west"}, "static"),
    (FIVE, {"f": "west"}, "single"),
    (NINE, {}, "dynamic"),
    (NINE, {"j": "west"}, "dynamic"),
)
# What archives live by, entries, images and followers that lack both, comes more often.
ARCHIVE_EVENTS = (*EVENTS, *("propose", "propose", "compact", "cut off", "heal anew"))
ARCHIVE_EVENTS_EACH = 30  # events; of a schedule, so that segments are sealed, sent and retired


def drawn_archive_run(seed: int) -> Run:
    """A schedule of a fleet whose cluster states have archives, drawn from a seed, run to its end. Half of
    the fleets are in dynamic mode.
    """
    draw = random.Random(f"archive-schedule-{seed}")
    members, spares, mode = draw.choice(ARCHIVE_SHAPES)
    rates = {one: draw.choice((SLOW, 1.0, FAST)) for one in (*members, *spares)}
    machines = len(members) + len(spares)
    with conditions(Fleet(members)):
        run = Run(members, spares, mode, rates, seed, segments=True)
        run.happen(BEGINNING)
        for _ in range(ARCHIVE_EVENTS_EACH):
            kind = draw.choice(ARCHIVE_EVENTS)
            run.happen(Event(kind, draw.randrange(machines), draw.randrange(machines), draw.randrange(6)))
    return run

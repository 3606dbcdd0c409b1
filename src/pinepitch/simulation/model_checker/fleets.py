"""The registry of models: small fleets, where each search of them starts, and how far it goes."""

from __future__ import annotations

from ...common import constants
from ...consensus.messages import AppendEntries, AppendReply, VoteReply, VoteRequest
from .actions import Budget, TimedBudget
from .model import Bounds, Fleet, Model
from .script import (
    act,
    act_until_quiet,
    deliver,
    drop,
    elect,
    keep_only,
    quiet_without,
    wait_unheard,
    wait_without,
)

SLOW, FAST = 1 - constants.CLOCK_DRIFT, 1 + constants.CLOCK_DRIFT


def _replaced(members: dict[str, str], leaver: str, newcomer: str) -> tuple[tuple[str, str], ...]:
    """The list of members, as a change names it, with one replaced in its zone."""
    rest = {one: zone for one, zone in members.items() if one != leaver}
    return tuple(sorted({**rest, newcomer: members[leaver]}.items()))


THREE = {"a": "north", "b": "south", "c": "west"}
FOUR = {"a": "north", "b": "south", "c": "west", "d": "west"}
FIVE = {"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"}
NINE = {
    **dict.fromkeys("abc", "north"),
    **dict.fromkeys("def", "south"),
    **dict.fromkeys("ghi", "west"),
}
LEARNT = (
    elect("a"),
    act_until_quiet("propose", "a"),
    act_until_quiet("learn", "a", "d"),
    act_until_quiet("heartbeat", "a"),
)
CHANGING = (*LEARNT, act("change", "a", _replaced(THREE, "c", "d")))
LOST_TAIL = (
    elect("c"),
    act("propose", "c"),
    act("propose", "c"),
    act("propose", "c"),
    drop,
    act("stand", "b"),
    quiet_without("c"),
    act_until_quiet("compact", "b"),
    act("heartbeat", "b"),
    quiet_without("c"),
    act("heartbeat", "b"),
)
SERVING = (wait_without(6, "c"), elect("a"), act_until_quiet("propose", "a"))
LEASED = (*SERVING, wait_without(5, "c"))
LATE_ANSWER = (
    *SERVING,
    wait_unheard(2),
    deliver(AppendEntries, "b"),
    *(keep_only(AppendReply), wait_unheard(1)) * 4,
)
OLDER_TERM = (
    elect("a"),
    act("propose", "a"),
    drop,
    act("stand", "c"),
    deliver(VoteRequest, "b"),
    deliver(VoteReply, "c"),
    drop,
    act("stand", "a"),
    deliver(VoteRequest, "b"),
    deliver(VoteReply, "a"),
)
DEPOSED = (
    *SERVING,
    act("freeze", "a"),
    wait_without(6, "a"),
    elect("c"),
    act_until_quiet("propose", "c"),
    act("thaw", "a"),
)
STOPPED = (*SERVING, act("freeze", "a"))  # a leader, between its look at an order and the append
CLOCKS = {"a": SLOW, "b": FAST, "c": FAST}

# The registry of models: name -> what is searched.
MODELS = {
    "election": Model(
        Fleet(THREE, budget=Budget(stands=2, proposals=1, heartbeats=1, restarts=1)),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "three voters from their bootstrap on: two campaigns, a proposal, a crash",
    ),
    "slow-disks": Model(
        Fleet(THREE, budget=Budget(stands=2, proposals=1, restarts=2), slow_disks=True),
        Bounds(6, 700),
        Bounds(11, 1_000_000),
        "the same, every write durable in a step of its own, two crashes between any steps",
    ),
    "two-terms": Model(
        Fleet(
            THREE,
            budget=Budget(stands=2, proposals=1, heartbeats=2, restarts=1),
            script=(elect("a"), act("propose", "a"), deliver(AppendEntries, "b"), drop, act("stand", "c")),
        ),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "an entry of an older term is on two of three, unacknowledged, while another campaigns",
    ),
    "unsaved-votes": Model(
        Fleet(
            THREE,
            budget=Budget(stands=1, restarts=1),
            script=(act("stand", "a"),),
            slow_disks=True,
        ),
        Bounds(10, 700),
        Bounds(14, 1_000_000),
        "votes are asked for while disks are slow; a voter starts anew and is asked again",
    ),
    "older-term": Model(
        Fleet(THREE, budget=Budget(stands=1, heartbeats=2), script=OLDER_TERM, append_entries=1),
        Bounds(6, 700),
        Bounds(12, 1_000_000),
        "three terms left a different tail each (Figure 8 of the Raft paper), logs are sent in parts",
    ),
    "repeats": Model(
        Fleet(
            THREE,
            budget=Budget(stands=2, proposals=1, heartbeats=1, repeats=3),
            script=(elect("a"), act("propose", "a")),
        ),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "messages arrive twice",
    ),
    "joint-change": Model(
        Fleet(
            THREE,
            {"d": "west"},
            budget=Budget(stands=2, proposals=1, heartbeats=1, restarts=1),
            script=CHANGING,
        ),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "a voter is being replaced by a spare: the joint entry is under way",
    ),
    "joint-ending": Model(
        Fleet(
            THREE,
            {"d": "west"},
            budget=Budget(stands=2, proposals=1, heartbeats=1, restarts=1),
            script=(
                *CHANGING,
                deliver(AppendEntries, "b"),
                deliver(AppendEntries, "c"),
                deliver(AppendReply, "a"),
            ),
        ),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "the joint entry is committed, the new list of members under way",
    ),
    "second-change": Model(
        Fleet(
            THREE,
            {"d": "west", "e": "south"},
            budget=Budget(stands=1, changes=1, heartbeats=2),
            script=(
                *LEARNT,
                act_until_quiet("learn", "a", "e"),
                act_until_quiet("heartbeat", "a"),
                act_until_quiet("change", "a", _replaced(THREE, "c", "d")),
            ),
        ),
        Bounds(4, 700),
        Bounds(9, 1_000_000),
        "a replacement of a replacement, added and removed members, any one list after another",
    ),
    "wiped": Model(
        Fleet(
            THREE,
            budget=Budget(stands=2, proposals=1, changes=1, heartbeats=2, wipes=1),
            script=(elect("a"), act("propose", "a"), deliver(AppendEntries, "b")),
        ),
        Bounds(5, 700),
        Bounds(9, 1_000_000),
        "any voter loses its disk while an entry is being acknowledged, and comes back as a newcomer",
    ),
    "wiped-twice": Model(
        Fleet(
            THREE,
            budget=Budget(stands=1, changes=1, heartbeats=2, wipes=1),
            script=(
                elect("a"),
                act_until_quiet("propose", "a"),
                act("wipe", "c"),
                act_until_quiet("learn", "a", "c'"),
                act_until_quiet("heartbeat", "a"),
                act("change", "a", _replaced(THREE, "c", "c'")),
            ),
        ),
        Bounds(5, 700),
        Bounds(9, 1_000_000),
        "a wiped voter's place is being taken by its newcomer, and another disk is lost",
    ),
    "snapshot": Model(
        Fleet(
            THREE,
            budget=Budget(stands=1, proposals=2, heartbeats=2, restarts=1, compactions=1),
            script=LOST_TAIL,
        ),
        Bounds(7, 700),
        Bounds(11, 1_000_000),
        "a snapshot is on its way to a former leader with a long tail that was never committed",
    ),
    "zones": Model(
        Fleet(
            FOUR,
            budget=Budget(stands=2, proposals=1, heartbeats=1, restarts=1),
            script=(elect("a"), act("propose", "a")),
        ),
        Bounds(4, 700),
        Bounds(8, 1_000_000),
        "four voters in three zones, two of them in one group",
    ),
    "five-single": Model(
        Fleet(
            FIVE,
            {"f": "west"},
            "single",
            budget=Budget(stands=1, proposals=1, heartbeats=1),
            script=(
                elect("a"),
                act_until_quiet("learn", "a", "f"),
                act_until_quiet("heartbeat", "a"),
                act("change", "a", _replaced(FIVE, "e", "f")),
            ),
        ),
        Bounds(4, 700),
        Bounds(8, 1_000_000),
        "five voters, each a group, one being replaced",
    ),
    "learner": Model(
        Fleet(
            THREE,
            {"d": "west"},
            budget=Budget(stands=1, proposals=2, heartbeats=1, restarts=1),
            script=LEARNT,
        ),
        Bounds(5, 700),
        Bounds(9, 1_000_000),
        "a spare follows the log, its copies and votes count for nothing",
    ),
    "handover": Model(
        Fleet(
            THREE,
            {"d": "west"},
            budget=Budget(stands=1, proposals=1, handovers=2, heartbeats=1, restarts=1),
            script=CHANGING,
        ),
        Bounds(5, 700),
        Bounds(9, 1_000_000),
        "leadership is handed over while a voter is being replaced, twice, beside a campaign",
    ),
    "lease-handover": Model(
        Fleet(
            THREE,
            budget=TimedBudget(waits=2, handovers=1, restarts=1),
            script=(*SERVING, act_until_quiet("wait", "")),
            rates=CLOCKS,
        ),
        Bounds(7, 700),
        Bounds(12, 1_000_000),
        "a leader with its lease hands leadership over; voters may start anew meanwhile",
    ),
    "lease": Model(
        Fleet(THREE, budget=TimedBudget(waits=6, restarts=1), script=LEASED, rates=CLOCKS),
        Bounds(8, 700),
        Bounds(14, 1_000_000),
        "a leader by a slow clock has its lease; one voter hears nothing of it, the other may start anew",
    ),
    "lease-answers": Model(
        Fleet(THREE, budget=TimedBudget(waits=2), script=LATE_ANSWER, rates=CLOCKS),
        Bounds(7, 700),
        Bounds(16, 1_000_000),
        "the answer to a leader's heartbeat is late by nearly a whole time-out",
    ),
    "lease-restart": Model(
        Fleet(
            THREE,
            budget=TimedBudget(waits=1, restarts=1),
            script=(*SERVING, wait_without(2, "c"), act("restart", "b"), act("tick", "b"), wait_unheard(3)),
            rates=CLOCKS,
        ),
        Bounds(6, 700),
        Bounds(12, 1_000_000),
        "a voter by a fast clock started anew just after it answered a leader by a slow one",
    ),
    "lease-freezes": Model(
        Fleet(THREE, budget=TimedBudget(waits=6, freezes=2), script=LEASED, rates=CLOCKS),
        Bounds(6, 700),
        Bounds(12, 1_000_000),
        "any daemon is stopped between any two steps and goes on later",
    ),
    "lease-suspended": Model(
        Fleet(
            THREE,
            budget=TimedBudget(waits=3),
            script=(*SERVING, act("freeze", "a"), wait_without(5, "a")),
            rates=CLOCKS,
        ),
        Bounds(7, 700),
        Bounds(14, 1_000_000),
        "a leader's machine is suspended; its steady clock counts that time",
    ),
    "reads": Model(
        Fleet(THREE, budget=TimedBudget(waits=2, reads=2, proposals=1), script=DEPOSED, rates=CLOCKS),
        Bounds(5, 700),
        Bounds(12, 1_000_000),
        "a leader that was stopped is asked for reads beside its successor",
    ),
    "lease-change": Model(
        Fleet(
            THREE,
            {"d": "west"},
            budget=TimedBudget(waits=2, restarts=1),
            script=(
                *SERVING,
                act_until_quiet("learn", "a", "d"),
                act_until_quiet("wait", ""),
                act("change", "a", _replaced(THREE, "c", "d")),
                wait_without(4, "b", "c"),
            ),
            rates={**CLOCKS, "d": SLOW},
        ),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "only the coming voter hears the leader, the others know nothing of the joint change",
    ),
    "lease-wiped": Model(
        Fleet(
            THREE,
            budget=TimedBudget(waits=6, restarts=1, wipes=1, changes=1, proposals=1),
            script=(
                *LEASED,
                act("wipe", "c"),
                act_until_quiet("learn", "a", "c'"),
                act_until_quiet("wait", ""),
                act("change", "a", _replaced(THREE, "c", "c'")),
            ),
            rates=CLOCKS,
        ),
        Bounds(5, 700),
        Bounds(10, 1_000_000),
        "a wiped voter's newcomer is becoming a voter while leases stand, another disk may be lost",
    ),
    "late-append": Model(
        Fleet(
            THREE,
            budget=TimedBudget(waits=2, late_appends=1, retries=2, restarts=1),
            script=(*STOPPED, wait_without(3, "a")),
            rates=CLOCKS,
        ),
        Bounds(6, 700),
        Bounds(12, 1_000_000),
        "a leader appends an order late, before anyone else was elected; its caller asks again",
    ),
    "late-append-deposed": Model(
        Fleet(
            THREE,
            budget=TimedBudget(waits=2, late_appends=1, retries=2, restarts=1),
            script=(*STOPPED, wait_without(6, "a"), elect("c"), act("propose", "c")),
            rates=CLOCKS,
        ),
        Bounds(6, 700),
        Bounds(12, 1_000_000),
        "a leader appends an order late, beside its successor; the caller asks either again",
    ),
}

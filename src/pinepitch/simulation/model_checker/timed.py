"""A model with time: every daemon has a steady clock of its own, and leases must hold.

Real time moves by `wait` alone, in steps of QUANTUM. A daemon's clock runs at its own rate; a
frozen daemon takes no input while its clock goes on. Messages arrive after any delay. The
time of day is nowhere read, so a step of it changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ...consensus.effects import Effect, ReadConfirmed
from ...consensus.flow_control import Flow
from ...consensus.roles import LEADER
from . import invariants
from .actions import Action
from .invariants import Violation
from .replica import Replica, machine_of
from .state import ModelState

if TYPE_CHECKING:
    from .model import Fleet

QUANTUM = 0.1  # seconds; of real time, as long as a heartbeat
ORDER = "order"  # the name under which a caller asks, and asks again
BEGIN = 1000.0  # seconds; what every clock reads at first


def _flow_times(flow: Flow) -> Any:
    """The times of what is under way to a follower."""
    return tuple(round(sent.sent_at, 3) for sent in flow.in_flight), round(max(flow.progress_at, 0.0), 3)


class TimedModelState(ModelState):
    """A state with clocks. Invariant: while a leader's lease stands, no later term has a leader."""

    ignored = ()

    def __init__(self, fleet: Fleet, rates: dict[str, float] | None = None) -> None:
        self.time = 0.0
        self.rates = dict(rates or {})  # daemon -> seconds of its clock per second; 1 where left out
        self.frozen: frozenset[str] = frozenset()
        self.frozen_at: dict[str, float] = {}  # frozen daemon -> what its clock read as it was stopped
        self.stopped: dict[
            str, float
        ] = {}  # machine -> seconds that its clock stood still, which a steady clock never does
        super().__init__(fleet)

    def now(self, identity: str) -> float:
        """The steady clock of a daemon; a wiped one's machine keeps its clock."""
        machine = machine_of(identity)
        passed = self.time - self.stopped.get(machine, 0.0)
        return BEGIN + passed * self.rates.get(machine, 1.0)

    def key(self) -> int:
        """A fingerprint, times included."""
        times = tuple(self._times(self.replicas[one]) for one in sorted(self.replicas))
        stopped = tuple(sorted(self.stopped.items()))
        frozen_at: tuple[tuple[str, float], ...] = ()
        if self.budget.late_appends:  # nothing else goes by it
            frozen_at = tuple((one, round(at, 3)) for one, at in sorted(self.frozen_at.items()))
        return hash((super().key(), round(self.time, 3), self.frozen, frozen_at, stopped, times))

    def _times(self, replica: Replica) -> Any:
        consensus = replica.consensus
        followers = tuple(
            (one, follower.answered_heartbeat, round(follower.heard_at, 3), _flow_times(follower.flow))
            for one, follower in sorted(consensus.followers.items())
        )
        return (
            round(max(consensus.leader_heard_at, 0.0), 3),
            None if consensus.election_at is None else round(consensus.election_at, 3),
            round(max(consensus.heartbeat_sent_at, 0.0), 3),
            round(max(consensus.disk_cooldown_until, 0.0), 3),
            (
                consensus.heartbeat_number,
                consensus.pending_transfer,
                consensus.begun_at,
                max(consensus.next_vote_request_at, 0.0),
            ),
            followers,
            tuple((number, round(sent, 3)) for number, sent in sorted(consensus.heartbeat_times.items())),
            (consensus.read_round, tuple(consensus.confirming_reads), tuple(consensus.queued_reads)),
        )

    def _forget_times(self, replica: Replica) -> None:
        """Times are part of this model."""

    def _posted(self, message: Any) -> Any:
        return message

    # --- steps ------------------------------------------------------------------------
    def actions(self) -> list[Action]:
        """Every step that may be taken here; campaigns and beats come with time."""
        found = [one for one in super().actions() if one.kind not in ("stand", "heartbeat")]
        found = [one for one in found if self._awake(one)]
        if self.budget.waits:
            found.append(Action("wait", ""))
        if self.budget.freezes:
            found += [Action("freeze", one) for one in sorted(self.replicas) if one not in self.frozen]
        found += [Action("thaw", one) for one in sorted(self.frozen)]
        if self.budget.late_appends:
            leading = [one for one in self.leaders_by_themselves() if one in self.frozen]
            found += [Action("append late", one) for one in leading]
        if self.budget.retries:
            awake = [one for one in self.leaders_by_themselves() if one not in self.frozen]
            found += [Action("retry", one) for one in awake]
        if self.budget.reads:
            found += [Action("read", one) for one in self.leaders_by_themselves() if one not in self.frozen]
        return found

    def leaders_by_themselves(self) -> list[str]:
        """Daemons that take themselves for the leader."""
        return [one for one in sorted(self.replicas) if self.replicas[one].consensus.role == LEADER]

    def _awake(self, action: Action) -> bool:
        if action.kind in ("deliver", "repeat"):
            return self.post.messages[action.subject].receiver not in self.frozen
        return action.subject not in self.frozen

    def _wait(self, action: Action) -> None:
        self._spend("waits")
        self.time += QUANTUM
        for identity in sorted(self.replicas):
            if identity not in self.frozen:
                self._tick_one(identity)

    def _tick(self, action: Action) -> None:
        self._tick_one(action.subject)

    def _tick_one(self, identity: str) -> None:
        replica = self._touch(identity)
        self._apply_effects(replica, replica.consensus.tick(self.now(identity)))

    def _freeze(self, action: Action) -> None:
        self._spend("freezes")
        self.frozen |= {action.subject}
        self.frozen_at = {**self.frozen_at, action.subject: self.now(action.subject)}

    def _thaw(self, action: Action) -> None:
        """Goes on; what came meanwhile is still under way, and may be read before the next tick or after."""
        self._go_on(action.subject)

    def _go_on(self, identity: str) -> None:
        self.frozen -= {identity}
        self.frozen_at = {one: at for one, at in self.frozen_at.items() if one != identity}

    def _append_late(self, action: Action) -> None:
        """A leader was stopped between its last look at an order and the append; it goes on with that,
        by the clock that it had read, before it takes anything else.
        """
        self._spend("late_appends")
        now = self.frozen_at[action.subject]
        self._go_on(action.subject)
        self._propose_order(action.subject, now)

    def _retry(self, action: Action) -> None:
        """The caller asks a leader again: one that has applied the order says so, others append it."""
        self._spend("retries")
        identity = action.subject
        consensus, now = self.replicas[identity].consensus, self.now(identity)
        known = ORDER in invariants.effects_of(self.committed[: consensus.applied_index])
        if consensus.leased(now) and consensus.serving():
            if not known and ORDER in invariants.effects_of(self.committed):
                raise Violation(f"{identity} has its lease and does not know an order that is committed")
        if not known:
            self._propose_order(identity, now)

    def _propose_order(self, identity: str, now: float) -> None:
        replica = self._touch(identity)
        proposed = replica.consensus.propose([("put", ORDER)], 0.0, now)
        assert proposed is not None
        self._apply_effects(replica, proposed[1])

    def _restart(self, action: Action) -> None:
        """Starts anew at once; the first input of the new incarnation may come any time later."""
        super()._restart(action)
        self.replicas[action.subject].consensus.begun_at = self.now(action.subject)
        self._go_on(action.subject)

    def _wipe(self, action: Action) -> None:
        super()._wipe(action)
        self._go_on(action.subject)

    def _read(self, action: Action) -> None:
        """Asks a leader for a read; its token is what had been committed by then, anywhere."""
        self._spend("reads")
        replica = self._touch(action.subject)
        effects = replica.consensus.read(len(self.committed), self.now(action.subject))
        assert effects is not None
        self._apply_effects(replica, effects)

    def _apply_effects(self, replica: Replica, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, ReadConfirmed) and effect.read_index < effect.token:
                raise Violation(
                    f"{replica.identity} reads at {effect.read_index}, "
                    f"when asked {effect.token} was committed"
                )
        super()._apply_effects(replica, effects)

    # --- invariants -------------------------------------------------------------------
    def check(self, before: ModelState) -> None:
        """What holds without time, and the lease."""
        super().check(before)
        for identity, replica in self.replicas.items():
            consensus = replica.consensus
            if consensus.role != LEADER or not consensus.leased(self.now(identity)):
                continue
            for term, leader in self.leaders:
                if term > consensus.term:
                    raise Violation(
                        f"{leader} leads term {term} while {identity} has its lease of term {consensus.term}"
                    )


TimedModelState.kinds = {
    **ModelState.kinds,
    "wait": TimedModelState._wait,
    "tick": TimedModelState._tick,
    "freeze": TimedModelState._freeze,
    "thaw": TimedModelState._thaw,
    "read": TimedModelState._read,
    "append late": TimedModelState._append_late,
    "retry": TimedModelState._retry,
    "restart": TimedModelState._restart,
    "wipe": TimedModelState._wipe,
}

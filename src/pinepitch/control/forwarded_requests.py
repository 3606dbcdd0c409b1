"""Requests that daemons forward to the leader: taken, answered, refused or left in doubt."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from ..consensus.leader_clock import Reading
from ..model.decisions import Answer, DeferHeartbeat, ProposeEnds, problem
from ..scheduling import requests as job_calls
from ..transport.request_key import subject_of
from .proposals import OutcomeListener
from .requests import REQUESTS

if TYPE_CHECKING:
    from .daemon import ControlDaemon

LEASED_CALLS = tuple(job_calls.CALLS)  # calls that only a leader with its lease and epoch may answer


class PendingRequest(NamedTuple):
    """A forwarded request that is being answered, and which attempt of it was taken. Invariant: the first
    two are its request key.
    """

    call: str
    subject: str
    attempt: int

    @property
    def key(self) -> tuple[str, str]:
        """What an answer to it tells that it is about."""
        return self[:2]


class PendingRead(NamedTuple):
    """A forwarded request that waits until all is applied that was committed when it came."""

    address: str  # of the daemon that forwarded it
    token: str
    handler: Any  # of requests.REQUESTS
    arguments: Sequence[Any]


class ForwardedRequests:
    """Invariants: what it gathers is empty unless this daemon leads; a request is pending until it is
    answered, and answered as the request that it was taken as.
    """

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.clear()

    def clear(self) -> None:
        """Forgets all, as a term begins or ends."""
        self.reading: dict[int, PendingRead] = {}  # by the number that consensus knows the read by
        self.read_count = 0
        self.pending_requests: dict[str, PendingRequest] = {}  # by token

    def step_down(self, waiting: list[OutcomeListener], now: float) -> None:
        """Tells all who wait that this daemon leads no more. What was proposed for those in `waiting`
        may still be agreed on; whatever else was asked is not taken.
        """
        for one in waiting:
            self.in_doubt(one.address, one.token)
        for read in self.reading.values():
            self.not_taken(read.address, read.token, None, now)
        for address, token, _ in self.core.assignments.deferred_heartbeats.values():
            self.not_taken(address, token, None, now)

    def on_request(
        self,
        address: str,
        token: str,
        call: str,
        arguments: Sequence[Any],
        attempt: int,
        end: Reading | None,
        now: float,
    ) -> None:
        """A daemon forwards a request; every request is safe to be sent again. None is taken after its
        end, a Reading of this leader's clock: whoever forwards it has given it up by then.
        """
        consensus = self.core.consensus
        if consensus is None or consensus.role != "leader" or self.core.stopping:
            self.refuse(address, token, self.core.leader_address(), attempt, now)
            return
        taken = PendingRequest(call, subject_of(call, arguments), attempt)
        current = self.pending_requests.get(token)
        if current is not None:
            if current.key != taken.key:
                self.core.event(146, token=token, held=list(current.key), asked=list(taken.key))
            return
        if not self._in_time(end, now):
            self.refuse(address, token, self.core.address, attempt, now)
            return
        self.pending_requests[token] = taken
        handler = REQUESTS.get(call)
        if handler is None:
            message = "whoever leads does not know this call"
            self.answer(address, token, problem(400, "unknown_call", message))
        elif handler.confirm_by_round:
            self.read_count += 1
            self.reading[self.read_count] = PendingRead(address, token, handler, arguments)
            self.core.agreement.run(consensus.read(self.read_count, now), now)
        elif self._may_decide(call, now):
            self._decide(address, token, handler, arguments, now)
        else:
            self.not_taken(address, token, None, now)

    def _may_decide(self, call: str, now: float) -> bool:
        """Whether this leader may decide on a call now."""
        if not self.core.consensus.serving():
            return False
        return call not in LEASED_CALLS or (
            self.core.leadership.epoch > 0 and self.core.consensus.leased(now)
        )

    def _in_time(self, end: Reading | None, now: float) -> bool:
        """Whether a forwarded request may be taken; one without an end may not."""
        return end is not None and end[0] == self.core.consensus.term and now <= end[1]

    def _decide(self, address: str, token: str, handler: Any, arguments: Sequence[Any], now: float) -> None:
        """Asks a handler for an answer at once or an operation to agree on."""
        decision = handler.make(self.core, token, arguments, now)
        if isinstance(decision, DeferHeartbeat):
            self.core.assignments.take_heartbeat(decision.identity, decision.document, address, token, now)
        elif isinstance(decision, Answer):
            if self.core.leased(now):
                self.answer(address, token, decision, self.core.consensus.lease_end(now))
            else:  # what stands in the state here may be old
                self.not_taken(address, token, None, now)
        elif isinstance(decision, ProposeEnds):
            waiting = OutcomeListener(address, token, "report", decision.context)
            self.core.worker_reports.propose_ends(decision.ends, waiting, now)
        else:
            operation, outcome_answer, context = decision
            waiting = OutcomeListener(address, token, outcome_answer, context)
            self.core.proposals.propose(operation, waiting, now)

    def answer_read(self, read: int, now: float) -> None:
        """What was read up to is applied now: the request is answered, if it is still pending."""
        pending = self.reading.pop(read, None)
        if pending is not None:
            answer = pending.handler.make(self.core, pending.token, pending.arguments, now)
            self.answer(pending.address, pending.token, answer)

    def answer(self, address: str, token: str, answer: Answer, until: float | None = None) -> None:
        """The answer to a pending request, perhaps to one that this daemon forwarded itself; what was
        only read, and not agreed on, is written until `until` at the latest.
        """
        current = self.pending_requests.pop(token, None)
        if current is None:
            return
        if address == self.core.address:
            forwarder = self.core.indexed_forwarder
            self.core.effects.extend(forwarder.answered(token, answer, current.key, self.core.step_at, until))
        else:
            # as a plain tuple, which is encoded without a search for its type
            self.core.send(address, ("answer", token, tuple(answer), current.key))

    def not_taken(self, address: str, token: str, leader: str | None, now: float) -> None:
        """A pending request that this daemon does not take after all."""
        current = self.pending_requests.pop(token, None)
        if current is not None:
            self.refuse(address, token, leader, current.attempt, now)

    def refuse(self, address: str, token: str, leader: str | None, attempt: int, now: float) -> None:
        """Says that one attempt of a request was not taken here, and never will be."""
        if address == self.core.address:
            self.core.forwarder.not_taken(token, attempt)
        else:
            self.core.send(address, ("elsewhere", token, leader, attempt, self.core.leader_reading(now)))

    def in_doubt(self, address: str, token: str) -> None:
        """A call that may have been taken, though this daemon can't say."""
        self.pending_requests.pop(token, None)
        if address == self.core.address:
            self.core.forwarder.in_doubt(token)
        else:
            self.core.send(address, ("unsure", token))

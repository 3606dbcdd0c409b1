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

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Forgets all, as a term begins or ends."""
        self.pending_reads: dict[int, PendingRead] = {}  # by the number that consensus knows the read by
        self.last_read_number = 0
        self.pending_requests: dict[str, PendingRequest] = {}  # by token

    def step_down(self, listeners: list[OutcomeListener], now: float) -> None:
        """Tells all who wait that this daemon leads no more. What was proposed for those in `waiting`
        may still be agreed on; whatever else was asked is not taken.
        """
        for listener in listeners:
            self.in_doubt(listener.address, listener.token)
        for read in self.pending_reads.values():
            self.refuse_pending(read.address, read.token, None, now)
        for address, token, _ in self.daemon.assignments.deferred_heartbeats.values():
            self.refuse_pending(address, token, None, now)

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
        consensus = self.daemon.consensus
        if consensus is None or consensus.role != "leader" or self.daemon.stopping:
            self.refuse(address, token, self.daemon.leader_address(), attempt, now)
            return
        request = PendingRequest(call, subject_of(call, arguments), attempt)
        current = self.pending_requests.get(token)
        if current is not None:
            if current.key != request.key:
                self.daemon.event(146, token=token, held=list(current.key), asked=list(request.key))
            return
        if not self._in_time(end, now):
            self.refuse(address, token, self.daemon.address, attempt, now)
            return
        self.pending_requests[token] = request
        handler = REQUESTS.get(call)
        if handler is None:
            message = "whoever leads does not know this call"
            self.answer(address, token, problem(400, "unknown_call", message))
        elif handler.confirm_by_round:
            self.last_read_number += 1
            self.pending_reads[self.last_read_number] = PendingRead(address, token, handler, arguments)
            self.daemon.consensus_driver.execute(consensus.read(self.last_read_number, now), now)
        elif self._may_decide(call, now):
            self._decide(address, token, handler, arguments, now)
        else:
            self.refuse_pending(address, token, None, now)

    def _may_decide(self, call: str, now: float) -> bool:
        """Whether this leader may decide on a call now."""
        if not self.daemon.consensus.serving():
            return False
        return call not in LEASED_CALLS or (
            self.daemon.leadership.epoch > 0 and self.daemon.consensus.leased(now)
        )

    def _in_time(self, end: Reading | None, now: float) -> bool:
        """Whether a forwarded request may be taken; one without an end may not."""
        return end is not None and end[0] == self.daemon.consensus.term and now <= end[1]

    def _decide(self, address: str, token: str, handler: Any, arguments: Sequence[Any], now: float) -> None:
        """Asks a handler for an answer at once or an operation to agree on."""
        decision = handler.make(self.daemon, token, arguments, now)
        if isinstance(decision, DeferHeartbeat):
            self.daemon.assignments.take_heartbeat(decision.identity, decision.document, address, token, now)
        elif isinstance(decision, Answer):
            if self.daemon.leased(now):
                self.answer(address, token, decision, self.daemon.consensus.lease_end(now))
            else:  # what stands in the state here may be old
                self.refuse_pending(address, token, None, now)
        elif isinstance(decision, ProposeEnds):
            listener = OutcomeListener(address, token, "report", decision.context)
            self.daemon.worker_reports.gather_ends(decision.ends, listener, now)
        else:
            operation, outcome_answer, context = decision
            listener = OutcomeListener(address, token, outcome_answer, context)
            self.daemon.proposals.propose(operation, listener, now)

    def answer_read(self, read_number: int, now: float) -> None:
        """What was read up to is applied now: the request is answered, if it is still pending."""
        read = self.pending_reads.pop(read_number, None)
        if read is not None:
            answer = read.handler.make(self.daemon, read.token, read.arguments, now)
            self.answer(read.address, read.token, answer)

    def answer(self, address: str, token: str, answer: Answer, until: float | None = None) -> None:
        """The answer to a pending request, perhaps to one that this daemon forwarded itself; what was
        only read, and not agreed on, is written until `until` at the latest.
        """
        request = self.pending_requests.pop(token, None)
        if request is None:
            return
        if address == self.daemon.address:
            forwarder = self.daemon.indexed_forwarder
            self.daemon.effects.extend(
                forwarder.answered(token, answer, request.key, self.daemon.step_at, until)
            )
        else:
            # as a plain tuple, which is encoded without a search for its type
            self.daemon.send(address, ("answer", token, tuple(answer), request.key))

    def refuse_pending(self, address: str, token: str, leader: str | None, now: float) -> None:
        """A pending request that this daemon does not take after all."""
        request = self.pending_requests.pop(token, None)
        if request is not None:
            self.refuse(address, token, leader, request.attempt, now)

    def refuse(self, address: str, token: str, leader: str | None, attempt: int, now: float) -> None:
        """Says that one attempt of a request was not taken here, and never will be."""
        if address == self.daemon.address:
            self.daemon.forwarder.not_taken(token, attempt)
        else:
            self.daemon.send(address, ("elsewhere", token, leader, attempt, self.daemon.leader_reading(now)))

    def in_doubt(self, address: str, token: str) -> None:
        """A call that may have been taken, though this daemon can't say."""
        self.pending_requests.pop(token, None)
        if address == self.daemon.address:
            self.daemon.forwarder.in_doubt(token)
        else:
            self.daemon.send(address, ("unsure", token))

"""Requests that daemons forward to the leader: accepted, answered, refused or reported as in doubt."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from ..consensus.leader_clock import Reading
from ..model.decisions import Answer, DeferHeartbeat, ProposeEnds, ProposeTombstone, problem
from ..scheduling import requests as job_calls
from ..transport.request_key import subject_of
from .proposals import OutcomeListener
from .requests import REQUESTS

if TYPE_CHECKING:
    from .daemon import ControlDaemon

LEASED_CALLS = tuple(job_calls.CALLS)  # calls that need a leader with a valid lease and an epoch


class PendingRequest(NamedTuple):
    """A forwarded request that is being processed, and the attempt of it that was accepted. Invariant: the
    first two fields are its request key.
    """

    call: str
    subject: str
    attempt: int

    @property
    def key(self) -> tuple[str, str]:
        """The request key that its answer carries."""
        return self[:2]


class PendingRead(NamedTuple):
    """A forwarded read that waits until every entry committed before its arrival is applied."""

    address: str  # of the daemon that forwarded it
    token: str
    handler: Any  # a value of requests.REQUESTS
    arguments: Sequence[Any]


class ForwardedRequests:
    """Invariants: it is empty unless this daemon leads; a request is pending until it is answered, and the
    answer carries the key under which the request was accepted.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Resets all state, as a term begins or ends."""
        self.pending_reads: dict[int, PendingRead] = {}  # by the number that consensus uses
        self.last_read_number = 0
        self.pending_requests: dict[str, PendingRequest] = {}  # by token

    def step_down(self, listeners: list[OutcomeListener], now: float) -> None:
        """Reports to all who wait that this daemon no longer leads. The operations of `listeners` may still
        be committed, so these requests are in doubt; all other pending requests are refused.
        """
        for listener in listeners:
            self.in_doubt(listener.address, listener.token)
        for read in self.pending_reads.values():
            self.refuse_pending(read.address, read.token, None, now)
        for address, token, _ in self.daemon.assignments.deferred_heartbeats.values():
            self.refuse_pending(address, token, None, now)
        self.daemon.early_cancellations.refuse_all(now)

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
        """Handles a request that a daemon forwards. Every request is safe to be sent again. A request is not
        accepted after its end, a Reading of this leader's clock, because the forwarding daemon has given it
        up by then.
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
        """Whether a forwarded request may still be accepted; a request without an end may not."""
        return end is not None and end[0] == self.daemon.consensus.term and now <= end[1]

    def _decide(self, address: str, token: str, handler: Any, arguments: Sequence[Any], now: float) -> None:
        """Calls the handler, which returns an answer or an operation to commit first."""
        decision = handler.make(self.daemon, token, arguments, now)
        if isinstance(decision, DeferHeartbeat):
            self.daemon.assignments.take_heartbeat(decision.identity, decision.document, address, token, now)
        elif isinstance(decision, Answer):
            if self.daemon.leased(now):
                self.answer(address, token, decision, self.daemon.consensus.lease_end(now))
            else:  # the state here may be out of date
                self.refuse_pending(address, token, None, now)
        elif isinstance(decision, ProposeTombstone):
            self.daemon.early_cancellations.gather(address, token, decision)
        elif isinstance(decision, ProposeEnds):
            listener = OutcomeListener(address, token, "report", decision.context)
            self.daemon.worker_reports.gather_ends(decision.ends, listener, now)
        else:
            operation, outcome_answer, context = decision
            listener = OutcomeListener(address, token, outcome_answer, context)
            self.daemon.proposals.propose(operation, listener, now)

    def answer_read(self, read_number: int, now: float) -> None:
        """Answers a read that has been confirmed, if it is still pending."""
        read = self.pending_reads.pop(read_number, None)
        if read is not None:
            answer = read.handler.make(self.daemon, read.token, read.arguments, now)
            self.answer(read.address, read.token, answer)

    def answer(self, address: str, token: str, answer: Answer, until: float | None = None) -> None:
        """Answers a pending request, which this daemon may have forwarded to itself. An answer that was read
        and not committed may be written until `until` at the latest.
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
            # a plain tuple, because the encoder handles it without a type lookup
            self.daemon.send(address, ("answer", token, tuple(answer), request.key))

    def refuse_pending(self, address: str, token: str, leader: str | None, now: float) -> None:
        """Refuses a request that was pending."""
        request = self.pending_requests.pop(token, None)
        if request is not None:
            self.refuse(address, token, leader, request.attempt, now)

    def refuse(self, address: str, token: str, leader: str | None, attempt: int, now: float) -> None:
        """Reports that this attempt of a request was not accepted here and never will be."""
        if address == self.daemon.address:
            self.daemon.forwarder.not_taken(token, attempt)
        else:
            self.daemon.send(address, ("elsewhere", token, leader, attempt, self.daemon.leader_reading(now)))

    def in_doubt(self, address: str, token: str) -> None:
        """Reports that a request may have been accepted, and that its outcome is not known here."""
        self.pending_requests.pop(token, None)
        if address == self.daemon.address:
            self.daemon.forwarder.in_doubt(token)
        else:
            self.daemon.send(address, ("unsure", token))

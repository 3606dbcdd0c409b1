"""Calls that are carried with an index of the log, confirmed by the leader as they came.

First the index is asked for, then the call is carried with it as its last argument. The index is
asked for only while the caller surely still waits, and never anew for the same call: what the
caller does after it gave up has a higher one. A call may have lain unread for as long as its daemon
was stopped just before; that is taken off.
"""

from typing import NamedTuple

from ..common import constants
from .forwarder import LOG_INDEX_REQUEST

CALLS = frozenset(("evacuate",))  # that are carried so: they bear no version of their own


class Waiting(NamedTuple):
    """A call whose index is being asked for, and until when the whole may take."""

    call: str
    arguments: tuple
    until: float


class IndexedForwarder:
    """Invariants: a call in `waiting` has been sent to nobody; `pause` is how long the daemon was
    stopped last, if that was longer than CONFIRM_PAUSE, and `paused` when it went on."""

    def __init__(self, forwarder):
        self.forwarder = forwarder
        self.waiting = {}  # token of the question for the index -> Waiting
        self.last_turn = None
        self.pause, self.paused = 0.0, -1e9

    def turn(self, now):
        """Notes one turn of the daemon, which has a tick at the least."""
        if self.last_turn is not None and now - self.last_turn > constants.CONFIRM_PAUSE:
            self.pause, self.paused = now - self.last_turn, now
        self.last_turn = now

    def _unread(self, now):
        """How long a call that is read now may have waited in its socket."""
        return self.pause if now < self.paused + constants.STALL_AFTERMATH else 0.0

    def begin(self, request, call, arguments, now, patience):
        """Takes any call; the token of what is to be carried first."""
        if call not in CALLS:
            return self.forwarder.begin(request, call, arguments, now, patience)
        for token in [one for one in self.waiting if one not in self.forwarder.calls]:
            del self.waiting[token]
        until = now + min(patience, constants.CALL_PATIENCE)
        within = min(patience, constants.CONFIRM_WITHIN - self._unread(now))
        token = self.forwarder.begin(request, LOG_INDEX_REQUEST, (), now, within)
        self.waiting[token] = Waiting(call, tuple(arguments), until)
        return token

    def answered(self, token, answer, key, now, until=None):
        """Effects of an answer to any carried call, as Carrier.answered() has them. With its index,
        a call is due to be carried."""
        question = self.forwarder.calls.get(token)
        if token not in self.waiting or question is None or question.key != tuple(key) or answer[0] != 200:
            return self.forwarder.answered(token, answer, key, now, until)
        waiting = self.waiting.pop(token)
        if now >= question.until:
            return self.forwarder.give_up(token)
        del self.forwarder.calls[token]
        arguments = (*waiting.arguments, answer[1]["index"])
        following = self.forwarder.begin(question.request, waiting.call, arguments, now, waiting.until - now)
        self.forwarder.calls[following].retry_at = now
        return ()

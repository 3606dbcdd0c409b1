"""Calls on their way to the leader, until one answers or nothing more is to be hoped for."""

from ..common import constants
from ..common.effects import Reply
from .request_key import key_of

LOG_INDEX_REQUEST = (
    "log-index"  # asks how far the log is; it changes nothing, so that given up it was not taken
)


class Call:
    """Invariants: token is the same every time it is sent; open holds the numbers of the sendings
    that were neither answered nor refused, so that an empty one means that nobody took it."""

    __slots__ = (
        "request",
        "call",
        "arguments",
        "key",
        "begun",
        "until",
        "retry_at",
        "to",
        "attempts",
        "open",
        "doubtful",
        "term",
    )

    def __init__(self, request, call, arguments, begun, until):
        self.request, self.call, self.arguments = request, call, arguments
        self.begun, self.until = begun, until
        self.key = key_of(call, arguments)
        self.retry_at = self.to = None
        self.attempts = 0
        self.open = set()
        self.doubtful = False
        self.term = None  # of the leader whose clock the newest copy's end is on


class Forwarder:
    """Invariants: a call leaves `calls` with its one reply; `life` names one life of one daemon, so
    that no token is ever used for two calls; an answer is given to none but the call it is about."""

    def __init__(self, incarnation, address, event):
        self.incarnation, self.address = incarnation, address
        self._event = event  # tells a numbered event
        self.calls = {}
        self.count = 0

    def begin(self, request, call, arguments, now, patience):
        """Takes a call; its token."""
        self.count += 1
        token = f"{self.incarnation}~{self.count}"
        until = now + min(patience, constants.CALL_PATIENCE)
        self.calls[token] = Call(request, call, arguments, now, until)
        return token

    def sent(self, token, address, now, end=None):
        """Notes that a call is sent to `address`, or to nobody when it is None, to be taken only
        until `end`, a Reading of the leader's clock; the sending's number."""
        call = self.calls[token]
        call.to, call.term = address, end.term if end else None
        if address is None:
            call.retry_at = now + constants.FORWARD_RETRY_UNTAKEN
            return 0
        call.retry_at = now + constants.FORWARD_RETRY
        call.attempts += 1
        call.open.add(call.attempts)
        return call.attempts

    def due(self, now, leaderless_for=0.0):
        """(tokens to be sent again, effects that reply to those given up). Once no leader has been
        heard for `unled_for` seconds, calls are given up sooner, so that their callers may come back."""
        due, effects = [], []
        for token, call in list(self.calls.items()):
            if now >= self._end(call, leaderless_for):
                effects.extend(self.give_up(token))
            elif call.retry_at is not None and now >= call.retry_at:
                due.append(token)
        return due, effects

    def give_up(self, token):
        """Effects of giving a call up."""
        call = self.calls.pop(token)
        return (Reply(call.request, *self._given_up(call)),)

    def _end(self, call, leaderless_for):
        """When a call is given up. In an outage that a restart may end it waits all its time, as nothing
        serves its caller sooner. In a long one it ends soon if nobody can have taken it, so that its caller
        can be told when to come back; else later, as callers send again at once what may have been taken."""
        if leaderless_for < constants.OUTAGE_SHORT:
            return call.until
        if self._may_be_taken(call):
            return call.begun + constants.LEADERLESS_SHARE * (call.until - call.begun)
        return min(call.until, call.begun + constants.LEADERLESS_SEEK)

    @staticmethod
    def _may_be_taken(call):
        """Whether somebody may have taken a call, so that it may have its effect."""
        return bool(call.open or call.doubtful) and call.call != LOG_INDEX_REQUEST

    def _given_up(self, call):
        if self._may_be_taken(call):
            return (
                504,
                {"error": {"code": "unsure", "message": "no leader answered; the call may have been taken"}},
                (),
            )
        return (
            503,
            {"error": {"code": "no_leader", "message": "no leader is known; the call was not taken"}},
            (("Retry-After", str(constants.RETRY_AFTER)),),
        )

    def waiting(self, token, key):
        """The call under a token if an answer about `key` is for it, else None."""
        call = self.calls.get(token)
        if call is None:
            self._event(144, token=token)
            return None
        if call.key != tuple(key):
            self._event(145, token=token, call=call.call, told=list(key))
            return None
        return call

    def answered(self, token, answer, key, now, until=None):
        """Effects of the answer to a call, that tells by its key what it is about; it may be
        written until the call's patience is over, or until `until` if that is sooner."""
        call = self.waiting(token, key)
        if call is None:
            return ()
        del self.calls[token]
        if now >= call.until:  # read after a stall: nobody waits for it, nor knows how old it is
            return (Reply(call.request, *self._given_up(call)),)
        status, document, retry = answer
        headers = () if retry is None else (("Retry-After", str(retry)),)
        until = call.until if until is None else min(until, call.until)
        return (Reply(call.request, status, document, headers, until),)

    def not_taken(self, token, attempt):
        """Whom it was sent to did not take that sending of it, and never will."""
        call = self.calls.get(token)
        if call is not None and attempt in call.open:
            call.open.remove(attempt)
            call.retry_at = min(
                call.retry_at, call.retry_at - constants.FORWARD_RETRY + constants.FORWARD_RETRY_UNTAKEN
            )

    def in_doubt(self, token):
        """Whom it was sent to may have taken it, and can't say."""
        call = self.calls.get(token)
        if call is not None:
            call.doubtful = True
            call.retry_at -= constants.FORWARD_RETRY

"""Calls on their way to the leader, until one answers or nothing more is to be hoped for."""

from . import constants


class Call:
    """Invariants: token is the same every time it is sent; open counts what was sent and
    neither answered nor refused, so that 0 means that nobody took it."""

    __slots__ = ("request", "call", "arguments", "begun", "until", "again", "to", "open", "doubtful")

    def __init__(self, request, call, arguments, begun, until):
        self.request, self.call, self.arguments = request, call, arguments
        self.begun, self.until = begun, until
        self.again = self.to = None
        self.open = 0
        self.doubtful = False


class Carrier:
    """Invariant: a call leaves `calls` with its one reply."""

    def __init__(self, identity, address):
        self.identity, self.address = identity, address
        self.calls = {}
        self.count = 0

    def begin(self, request, call, arguments, now, patience):
        """Takes a call; its token."""
        self.count += 1
        token = f"{self.identity}~{self.count}"
        until = now + min(patience, constants.CALL_PATIENCE)
        self.calls[token] = Call(request, call, arguments, now, until)
        return token

    def sent(self, token, address, now):
        """Notes that a call is sent to `address`, or to nobody when it is None."""
        call = self.calls[token]
        call.to = address
        call.open += address is not None
        call.again = now + constants.CARRY_AGAIN if address is not None else now + constants.CARRY_SEEK

    def due(self, now, unled_for=0.0):
        """(tokens to be sent again, effects that reply to those given up). While no leader has been
        heard for `unled_for` seconds, calls are given up sooner, so that their callers may come back."""
        due, effects = [], []
        for token, call in list(self.calls.items()):
            if now >= self._end(call, unled_for):
                del self.calls[token]
                effects.append(("reply", call.request, *self._given_up(call)))
            elif call.again is not None and now >= call.again:
                due.append(token)
        return due, effects

    def _end(self, call, unled_for):
        """When a call is given up: without a leader after a part of its time, which outlasts a restart;
        in a long outage soon, if nobody can have taken it and its caller can be told when to come back."""
        if unled_for <= 0:
            return call.until
        if unled_for < constants.OUTAGE_SHORT or call.open or call.doubtful:
            return call.begun + constants.UNLED_SHARE * (call.until - call.begun)
        return min(call.until, call.begun + constants.UNLED_SEEK)

    def _given_up(self, call):
        if call.open or call.doubtful:
            return (
                504,
                {"error": {"code": "unsure", "message": "no leader answered; the call may have been taken"}},
                (),
            )
        return (
            503,
            {"error": {"code": "no_leader", "message": "no leader is known; the call was not taken"}},
            (("Retry-After", str(constants.COME_BACK)),),
        )

    def answered(self, token, answer):
        """Effects of the answer to a call."""
        call = self.calls.pop(token, None)
        if call is None:
            return ()
        status, document, retry = answer
        headers = () if retry is None else (("Retry-After", str(retry)),)
        return (("reply", call.request, status, document, headers),)

    def refused(self, token):
        """Whom it was sent to did not take it, and never will."""
        call = self.calls.get(token)
        if call is not None:
            call.open = max(0, call.open - 1)
            call.again = min(call.again, call.again - constants.CARRY_AGAIN + constants.CARRY_SEEK)

    def unsure(self, token):
        """Whom it was sent to may have taken it, and can't say."""
        call = self.calls.get(token)
        if call is not None:
            call.doubtful = True
            call.again -= constants.CARRY_AGAIN

"""Injected faults that the trials must find: each takes one mechanism away."""

import contextlib
from unittest import mock

from ...common import constants
from ...consensus.leader_clock import LeaderClock, Reading
from ...consensus.replica import Consensus
from ...control.forwarded_requests import ForwardedRequests
from ...runtime import stall_detector
from ...scheduling.configuration import Configuration
from ...transport import indexed_forwarder
from ...transport.forwarder import Forwarder


def _never_in_doubt(self, call):
    """Tells every call that is given up as not taken."""
    call.open, call.doubtful = set(), False
    return original_given_up(self, call)


def _forgetting(take):
    """Knows no change that was taken before."""

    def forgetting(self, *arguments):
        self.digests_by_version.clear()
        return take(self, *arguments)

    return forgetting


def _carried_unconfirmed(self, request, call, arguments, now, patience):
    """Carries an order for a zone at once, as if the newest index of all had been confirmed."""
    if call in indexed_forwarder.INDEXED_CALLS:
        arguments = (*arguments, constants.MAX_NUMBER)
    return self.forwarder.begin(request, call, arguments, now, patience)


def _refusing(take):
    """Refuses some changes on the version in force, as a daemon with an old record would."""

    def refusing(self, base, document, *rest):
        if base == self.version and document["version"] % 5 == 0:
            return ("stale", self.version + 1)
        return take(self, base, document, *rest)

    return refusing


original_given_up = Forwarder._given_up
UNCONFIRMED_ORDERS = (indexed_forwarder.IndexedForwarder, "begin", _carried_unconfirmed)
# The registry of injected faults: name -> [(owner, attribute, replacement)].
INJECTED_FAULTS = {
    # What a late copy of an order for a zone would undo, its confirmed index keeps too: each of these
    # faults does harm only beside one that carries orders without that.
    "asks-without-end": [
        (ForwardedRequests, "_in_time", lambda self, end, now: True),
        UNCONFIRMED_ORDERS,
    ],
    "ends-on-own-clock": [
        UNCONFIRMED_ORDERS,
        (LeaderClock, "end", lambda self, until, now: Reading(self.term, now + constants.CALL_PATIENCE)),
    ],
    "late-answers-written": [(stall_detector, "timely", lambda reply, until, now: reply)],
    "waited-calls-taken": [
        (stall_detector.StallDetector, "refuses", lambda self, message, now: False),
        UNCONFIRMED_ORDERS,
    ],
    "lease-ignored": [
        (Consensus, "leased", lambda self, now: self.serving()),
        (constants, "CHECK_QUORUM", 15.0),
    ],
    "doubt-unsaid": [(Forwarder, "_given_up", _never_in_doubt)],
    "refused-at-will": [(Configuration, "replace", _refusing(Configuration.replace))],
    "taken-forgotten": [(Configuration, "replace", _forgetting(Configuration.replace))],
}


@contextlib.contextmanager
def injected(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield

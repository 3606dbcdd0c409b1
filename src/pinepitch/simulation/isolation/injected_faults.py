"""Injected faults that the trials must detect; each disables one mechanism."""

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


def _never_doubtful(self, call):
    """Reports every call that timed out as not accepted."""
    call.open, call.doubtful = set(), False
    return original_give_up(self, call)


def _without_digests(replace):
    """Forgets all changes that were accepted before."""

    def replace_without_digests(self, *arguments):
        self.digests_by_version.clear()
        return replace(self, *arguments)

    return replace_without_digests


def _forward_unconfirmed(self, request, call, arguments, now, patience):
    """Forwards an order for a zone at once, as if the highest possible index had been confirmed."""
    if call in indexed_forwarder.INDEXED_CALLS:
        arguments = (*arguments, constants.MAX_NUMBER)
    return self.forwarder.begin(request, call, arguments, now, patience)


def _refusing_some(replace):
    """Refuses some changes on the version in force, as a daemon with an outdated record would."""

    def replace_or_refuse(self, base, document, *rest):
        if base == self.version and document["version"] % 5 == 0:
            return ("stale", self.version + 1)
        return replace(self, base, document, *rest)

    return replace_or_refuse


original_give_up = Forwarder._given_up
UNCONFIRMED_ORDERS = (indexed_forwarder.IndexedForwarder, "begin", _forward_unconfirmed)
# The registry of injected faults: name -> [(owner, attribute, replacement)].
INJECTED_FAULTS = {
    # The confirmed index of an order for a zone also protects against late copies of the order. Faults
    # that let late copies through do harm only together with UNCONFIRMED_ORDERS.
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
    "doubt-unsaid": [(Forwarder, "_given_up", _never_doubtful)],
    "refused-at-will": [(Configuration, "replace", _refusing_some(Configuration.replace))],
    "taken-forgotten": [(Configuration, "replace", _without_digests(Configuration.replace))],
}


@contextlib.contextmanager
def injected(name):
    """Applies the injected fault of that name; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield

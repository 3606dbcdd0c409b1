"""Faults injected into orders, to see that the models and the simulator's operators find them."""

import hashlib
import json

from ..common import constants
from ..control.forwarded_requests import ForwardedRequests
from ..scheduling import configuration
from ..scheduling.configuration import Configuration
from ..scheduling.evacuation import Evacuations
from ..transport.indexed_forwarder import IndexedForwarder

original_earlier_outcome = Configuration._earlier_outcome
original_image = Configuration.image


def _base_unheeded(self, base, version, digest):
    """Takes changes on whatever version is in force."""
    return original_earlier_outcome(self, self.version, version, digest)


def _number_is_enough(self, base, version, digest):
    """Acknowledges any change under a number that was taken."""
    if type(version) is int and version in self.digests_by_version:
        return ("configured", version)
    return original_earlier_outcome(self, base, version, digest)


def _taken_unheeded(self, base, version, digest):
    """Knows no change again that was taken."""
    return None if base == self.version else ("stale", self.version)


def _forgets_at_restart(self):
    """Keeps no digests in snapshots."""
    return (original_image(self)[0], ())


def _member_order_counts(value):
    """Takes the same change with its members in another order for another one."""
    return hashlib.sha256(json.dumps(value).encode()).hexdigest()[:16]


def _old_is_refused(self):
    """Refuses changes older than all that is remembered as if it knew."""
    return 0


original_apply_order = Evacuations.apply_order


def _late_orders_taken(self, index, now, zone, begun, confirmed):
    """Takes an order for a zone however late it comes."""
    return original_apply_order(self, index, now, zone, begun, index)


def _holding_orders_unnoted(self, index, now, zone, begun, confirmed):
    """Notes an order only if it changes something."""
    before = dict(self.newest)
    kept = (zone in self.since) == begun
    outcome = original_apply_order(self, index, now, zone, begun, confirmed)
    if kept:
        self.newest = before
    return outcome


def _pauses_unseen(self, now):
    """Takes every order for one that was read as it came."""
    return 0.0


def _hang_ups_unseen(self, request):
    """Goes on with an order whose caller has gone."""
    return ()


LATE_ORDERS = ((Evacuations, "apply_order", _late_orders_taken),)
INJECTED_FAULTS = {
    "base-unheeded": [(Configuration, "_earlier_outcome", _base_unheeded)],
    "number-is-enough": [(Configuration, "_earlier_outcome", _number_is_enough)],
    "taken-unheeded": [(Configuration, "_earlier_outcome", _taken_unheeded)],
    "taken-not-in-snapshots": [(Configuration, "image", _forgets_at_restart)],
    "order-of-members-counts": [(configuration, "digest_of", _member_order_counts)],
    "old-changes-refused": [(Configuration, "_forgotten_below", _old_is_refused)],
    "faults-unseen": [(configuration, "faults_of", lambda *document: ())],
    # A late order is stopped by the end that its carried copy bears, too: without both it is taken.
    "late-orders-taken": [
        *LATE_ORDERS,
        (ForwardedRequests, "_in_time", lambda self, end, now: True),
    ],
    "holding-orders-unnoted": [(Evacuations, "apply_order", _holding_orders_unnoted)],
    "hang-ups-unseen": [(IndexedForwarder, "hung_up", _hang_ups_unseen)],
    "pauses-unseen": [(IndexedForwarder, "_unread", _pauses_unseen)],
    "orders-confirmed-late": [(constants, "CONFIRM_WITHIN", constants.CALL_PATIENCE)],
}

"""Checks that compare the answers to operators with the actual state. Each returns its faults."""

from ...common import constants

IN_TRANSIT = 0.1  # seconds; time that an answer may take from its sender to its reader
EFFECT_WITHIN = constants.CALL_PATIENCE + IN_TRANSIT  # seconds; from sending an order to its latest effect
NOT_ACCEPTED = (400, 412, 429, 503)  # statuses of an order that was not and will not be accepted


def _orders_of(orders, call):
    return [order for order in orders if order.call == call]


def _sent_again(orders, order):
    """Whether an order for a zone was sent more than once; another attempt may have been accepted."""
    return sum(attempt.subject == order.subject for attempt in _orders_of(orders, "evacuate")) > 1


def reads_fresh(orders):
    """No read returns an older version than any that was acknowledged before the read was sent. If a
    newer version is acknowledged meanwhile, the read is answered at most EFFECT_WITHIN later. A read
    that the leader itself decided before it was stopped is not answered after the newer version at all.
    """
    acknowledged = [order for order in _orders_of(orders, "configure") if order.status == 200]
    faults = []
    for read in _orders_of(orders, "configuration"):
        if read.status != 200:
            continue
        version = read.document["version"]
        newer = [change.answered for change in acknowledged if change.subject > version]
        if not newer:
            continue
        if min(newer) < read.sent:
            faults.append(f"version {version} was read after a newer one was acknowledged")
        longest_delay = IN_TRANSIT if read.strict else EFFECT_WITHIN
        if read.answered > min(newer) + longest_delay:
            delay = read.answered - min(newer)
            faults.append(
                f"version {version} was handed out {delay:.2f} s after a newer one was acknowledged"
            )
    return faults


def changes_retained(orders, final):
    """The version in force at the end includes every acknowledged change and no refused change. No two
    acknowledged changes have the same base version. An accepted change that is sent again is not
    refused. A change on the version in force is refused only if another change replaced that version.
    """
    faults, attempts, bases = [], {}, {}
    for order in _orders_of(orders, "configure"):
        attempts.setdefault(order.subject, []).append(order)
    in_force, version = set(), final
    while version in attempts:
        in_force.add(version)
        version = attempts[version][0].base
    successors = {attempts[version][0].base: attempts[version][0] for version in in_force}
    for version, tries in attempts.items():
        statuses = [order.status for order in tries]
        if 200 in statuses:
            if version not in in_force:
                faults.append(f"version {version} was acknowledged and is not in force")
            if bases.setdefault(tries[0].base, version) != version:
                faults.append(f"two versions on {tries[0].base} were both acknowledged")
            if any(status in (400, 412) for status in statuses):
                faults.append(f"version {version} was taken and is refused when it is sent again")
        elif version in in_force and all(status in NOT_ACCEPTED for status in statuses):
            faults.append(f"version {version} is in force, though it was answered {statuses}")
        successor = successors.get(tries[0].base)
        for order in tries:
            early = successor is None or successor.sent > (order.answered or 0.0)
            if order.status == 400 or (order.status == 412 and early):
                faults.append(f"version {version} was refused, though {order.base} was still in force")
    return faults


def evacuations_retained(orders):
    """An acknowledged evacuation is listed from then on, and one that was answered as not accepted is
    never listed. No order takes effect after its call has timed out.
    """
    faults, listings = [], [order for order in _orders_of(orders, "evacuations") if order.status == 200]
    listed = {}
    for listing in listings:
        listed.update(
            {evacuation["zone"]: evacuation["since"] for evacuation in listing.document["evacuations"]}
        )
    for order in _orders_of(orders, "evacuate"):
        since = listed.get(order.subject)
        if order.status == 200:
            for listing in listings:
                zones = {evacuation["zone"] for evacuation in listing.document["evacuations"]}
                if listing.sent > order.answered and order.subject not in zones:
                    faults.append(f"{order.subject} was acknowledged and is not listed")
        elif since is not None and order.status in NOT_ACCEPTED and not _sent_again(orders, order):
            faults.append(f"{order.subject} is evacuated, though it was answered {order.status}")
        sent = [
            attempt.sent for attempt in _orders_of(orders, "evacuate") if attempt.subject == order.subject
        ]
        if since is not None and not any(at <= since <= at + EFFECT_WITHIN for at in sent):
            faults.append(f"{order.subject} was evacuated {since - sent[-1]:.2f} s after it was asked for")
    return faults

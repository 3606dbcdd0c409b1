"""A plain reference of the rules of versioned changes, to which models compare the real thing.

It speaks the platform's words, keeps every order that was ever taken and is written for
reading, not for speed. Nothing of scheduling/ is used here.
"""

import json
from typing import NamedTuple

REPLACE, AMEND = "replace", "amend"
VERSION_MOST = 2**53
OK, INVALID, STALE, UNKNOWN = 200, 400, 412, 504


class Order(NamedTuple):
    """A change as an operator sends it. Two orders are the same if all of this is equal;
    `body` is JSON with its members in sorted order, so that the order of members doesn't count.
    """

    kind: str
    base: str
    body: str


def order_of(kind, base, document):
    """The order that a body makes under a value of X-Based-On-Version."""
    return Order(kind, base, json.dumps(document, sort_keys=True))


def _complete(value):
    return type(value) is int


def version_of(text):
    """The version that a header says, or None when it says none."""
    return int(text) if text.isdigit() and int(text) <= VERSION_MOST else None


def _number_is_valid(value):
    return type(value) in (int, float) and 0 < value <= VERSION_MOST


def is_valid(document, current):
    """Whether a whole configuration may come into force over version `current`."""
    version = document.get("configVersion")
    if not _complete(version) or not current < version <= VERSION_MOST:
        return False
    services = [service["name"] for service in document["services"]]
    names = [route["name"] for route in document["routes"]]
    places = [(route["hostName"], route["pathPrefix"]) for route in document["routes"]]
    for unique in (services, names, places):
        if len(set(unique)) < len(unique):
            return False
    return all(
        route["serviceName"] in services and _number_is_valid(route["timeoutMs"])
        for route in document["routes"]
    )


def amended(document, change):
    """A configuration with the items of a change put in by name and taken out by name."""
    result = {**document, "configVersion": change["configVersion"]}
    for part, items in change["upsertItems"].items():
        fresh = {item["name"]: item for item in items}
        kept = [fresh.pop(item["name"], item) for item in result[part]]
        result[part] = kept + list(fresh.values())
    for part, names in change["removeNames"].items():
        result[part] = [item for item in result[part] if item["name"] not in names]
    return result


class Reference:
    """What the rules say of a series of orders. Invariants: taken[n] follows on taken[n - 1];
    document is what the last of them brought; the newest `remembered` are surely recognised.
    """

    def __init__(self, remembered):
        self.remembered = remembered
        self.taken = []  # (order, version)
        self.document = None

    @property
    def version(self):
        """The number of the version in force."""
        return self.taken[-1][1] if self.taken else 0

    def _outcome(self, order):
        """The configuration that an order would bring, or None where it is invalid."""
        change = json.loads(order.body)
        if order.kind == REPLACE:
            return change if is_valid(change, self.version) else None
        if self.document is None or not _complete(change["configVersion"]):
            return None
        result = amended(self.document, change)
        return result if is_valid(result, self.version) else None

    def allowed(self, order):
        """The statuses that an order may be answered with now."""
        for place, (taken, _) in enumerate(self.taken):
            if taken == order:
                recent = place >= len(self.taken) - self.remembered
                return {OK} if recent else {OK, UNKNOWN}
        base = version_of(order.base)
        if base is None:
            return {INVALID}
        if base == self.version:
            return {INVALID} if self._outcome(order) is None else {OK}
        allowed = {STALE} if self._surely_valid(order) else {STALE, INVALID}
        if self._perhaps_forgotten(order, base):
            allowed.add(UNKNOWN)
        return allowed

    def _perhaps_forgotten(self, order, base):
        """Whether an order may have been taken so long ago that it needn't be recognised."""
        change = json.loads(order.body)
        version = change["configVersion"]
        if len(self.taken) < self.remembered or not _complete(version):
            return False
        if not base < version < self.taken[-self.remembered][1]:
            return False
        return order.kind == AMEND or is_valid(change, 0)

    def _surely_valid(self, order):
        """Whether an order is valid by itself, whatever version is in force."""
        change = json.loads(order.body)
        if order.kind == REPLACE:
            return is_valid(change, self.version)
        version = change["configVersion"]
        return _complete(version) and self.version < version <= VERSION_MOST

    def answered(self, order, status):
        """Takes note of an answer; the fault in it, or None."""
        allowed = self.allowed(order)
        if status not in allowed:
            return f"{order} was answered {status}, not one of {sorted(allowed)}, over {self.version}"
        if status == OK and all(taken != order for taken, _ in self.taken):
            self.document = self._outcome(order)
            self.taken.append((order, self.document["configVersion"]))
        return None

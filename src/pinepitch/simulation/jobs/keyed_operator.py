"""The stand-in operator of a fleet with tenants: their keys are added, replaced and taken away."""

from .operator_traffic import OperatorTraffic
from .stand_in_operator import Change, StandInOperator
from .tenant_keys import GUEST_PREFIX, KEPT_TENANTS, first_tenants, newest_acknowledged, tenant_document

KEY_CHANGE_PART = 0.75  # of changes; the others change routes
CHANGE_RATE = 0.5  # changes in each turn of the traffic
GUESTS_MOST = 3  # tenants that come and go; at any time
KEYS_MOST = 3  # keys; of one tenant


class KeyedOperator(StandInOperator):
    """As StandInOperator, with tenants in every configuration."""

    def _first_document(self):
        return {**super()._first_document(), "tenants": first_tenants()}


class KeyTraffic(OperatorTraffic):
    """As OperatorTraffic; most changes are of tenants and their keys. Invariant: a key that was taken away
    never comes back, and each tenant of KEPT_TENANTS has a key in every configuration.
    """

    def __init__(self, simulator):
        super().__init__(simulator)
        self.change_rate = CHANGE_RATE
        self.key_count = 0

    def change(self, **more):
        if more or self.simulator.draw.random() >= KEY_CHANGE_PART:
            super().change(**more)
            return
        operator, draw = self.simulator.operator_stand_in, self.simulator.draw
        before = newest_acknowledged(operator.changes).document
        upserts, removes = draw.choice((self._keys_changed, self._keys_changed, self._guests_changed))(before)
        version = operator._next_version(before)
        fresh = {tenant["name"]: tenant for tenant in upserts}
        tenants = [fresh.pop(one["name"], one) for one in before["tenants"] if one["name"] not in removes]
        document = {**before, "version": version, "tenants": [*tenants, *fresh.values()]}
        arguments = (before["version"], document)
        if draw.random() < 0.5:
            change = Change("configure", before["version"], document, arguments)
        else:
            taken = {"tenants": list(removes)} if removes else {}
            put = {"tenants": upserts} if upserts else {}
            change = Change("amend", before["version"], document, (before["version"], version, put, taken))
        self.changes.append(operator._give(change))

    def _new_key(self, name):
        self.key_count += 1
        return f"{name}-key-new-{self.key_count}"

    def _keys_changed(self, before):
        """(tenants to put in, names to take out): a tenant that gets a key, loses one or moves to another."""
        draw = self.simulator.draw
        name = draw.choice(KEPT_TENANTS)
        keys = next(tenant["keys"] for tenant in before["tenants"] if tenant["name"] == name)
        manners = ["move"]
        if len(keys) < KEYS_MOST:
            manners.append("add")
        if len(keys) > 1:
            manners.append("take")
        manner = draw.choice(manners)
        left = list(keys)
        if manner != "add":
            left.remove(draw.choice(keys))
        if manner != "take":
            left.append(self._new_key(name))
        return [tenant_document(name, left)], []

    def _guests_changed(self, before):
        """The same of tenants that come and go."""
        draw = self.simulator.draw
        guests = [one["name"] for one in before["tenants"] if one["name"].startswith(GUEST_PREFIX)]
        if len(guests) >= GUESTS_MOST or (guests and draw.random() < 0.5):
            return [], [draw.choice(guests)]
        name = f"{GUEST_PREFIX}{self.key_count}"
        return [tenant_document(name, [self._new_key(name)])], []

"""The stand-in operator of a fleet with tenants: it adds, replaces and removes their keys."""

from .operator_traffic import OperatorTraffic
from .stand_in_operator import Change, StandInOperator
from .tenant_keys import GUEST_PREFIX, PERMANENT_TENANTS, first_tenants, newest_acknowledged, tenant_document

KEY_CHANGE_PROBABILITY = 0.75  # of a change of keys; the other changes are of routes
CHANGE_RATE = 0.5  # probability of a change in each turn of the traffic
MAX_GUESTS = 3  # guest tenants at any time
MAX_KEYS = 3  # of one tenant


class KeyedOperator(StandInOperator):
    """A StandInOperator with tenants in every configuration."""

    def _first_document(self):
        return {**super()._first_document(), "tenants": first_tenants()}


class KeyTraffic(OperatorTraffic):
    """OperatorTraffic in which most changes are of tenants and their keys. Invariants: a key that was removed
    is never added again; each tenant of PERMANENT_TENANTS has a key in every configuration.
    """

    def __init__(self, simulator):
        super().__init__(simulator)
        self.change_rate = CHANGE_RATE
        self.key_count = 0

    def change(self, **more):
        if more or self.simulator.draw.random() >= KEY_CHANGE_PROBABILITY:
            super().change(**more)
            return
        operator, rng = self.simulator.operator_stand_in, self.simulator.draw
        before = newest_acknowledged(operator.changes).document
        upserts, removes = rng.choice((self._keys_changed, self._keys_changed, self._guests_changed))(before)
        version = operator._next_version(before)
        added = {tenant["name"]: tenant for tenant in upserts}
        tenants = [
            added.pop(former["name"], former) for former in before["tenants"] if former["name"] not in removes
        ]
        document = {**before, "version": version, "tenants": [*tenants, *added.values()]}
        arguments = (before["version"], document)
        if rng.random() < 0.5:
            change = Change("configure", before["version"], document, arguments)
        else:
            removed_items = {"tenants": list(removes)} if removes else {}
            new_items = {"tenants": upserts} if upserts else {}
            change = Change(
                "amend", before["version"], document, (before["version"], version, new_items, removed_items)
            )
        self.changes.append(operator._submit(change))

    def _new_key(self, name):
        self.key_count += 1
        return f"{name}-key-new-{self.key_count}"

    def _keys_changed(self, before):
        """Returns (tenants to add or replace, names to remove): one tenant gains a key, loses one or has one
        replaced.
        """
        rng = self.simulator.draw
        name = rng.choice(PERMANENT_TENANTS)
        keys = next(tenant["keys"] for tenant in before["tenants"] if tenant["name"] == name)
        actions = ["move"]
        if len(keys) < MAX_KEYS:
            actions.append("add")
        if len(keys) > 1:
            actions.append("take")
        action = rng.choice(actions)
        new_keys = list(keys)
        if action != "add":
            new_keys.remove(rng.choice(keys))
        if action != "take":
            new_keys.append(self._new_key(name))
        return [tenant_document(name, new_keys)], []

    def _guests_changed(self, before):
        """Returns the same for a guest tenant that is added or removed."""
        rng = self.simulator.draw
        guests = [tenant["name"] for tenant in before["tenants"] if tenant["name"].startswith(GUEST_PREFIX)]
        if len(guests) >= MAX_GUESTS or (guests and rng.random() < 0.5):
            return [], [rng.choice(guests)]
        name = f"{GUEST_PREFIX}{self.key_count}"
        return [tenant_document(name, [self._new_key(name)])], []

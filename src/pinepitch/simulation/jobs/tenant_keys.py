"""Tenants of the simulated fleet and their keys, as the configurations of its operator hold them."""

KEPT_TENANTS = ("acorn", "birch", "cedar", "dogwood")  # in every configuration; they hand in jobs
GUEST_PREFIX = "guest"  # of the names of tenants that come and go; they only ask how many jobs wait
KEYS_EACH = 2  # keys; of a tenant in the first configuration
MAXIMA = {
    "acorn": {"cpu": 12_000, "mem_mb": 32_768, "gpu": 4},
    "birch": None,
    "cedar": {"cpu": 8_000, "mem_mb": 0, "gpu": 3},  # 0 is no limit
    "dogwood": {"cpu": 0, "mem_mb": 0, "gpu": 0},
}


def tenant_document(name, keys):
    """A tenant as a configuration lists it."""
    return {"name": name, "keys": list(keys), "weight": 1.0, "maximum": MAXIMA.get(name)}


def first_tenants():
    """The tenants of the first configuration."""
    return [
        tenant_document(name, [f"{name}-key-{number}" for number in range(KEYS_EACH)])
        for name in KEPT_TENANTS
    ]


def owners(document):
    """Key -> name of its tenant, for all keys of a configuration."""
    return {key: tenant["name"] for tenant in document["tenants"] for key in tenant["keys"]}


def newest_acknowledged(changes):
    """The change of the highest version that is known to have come into force."""
    return max((one for one in changes if one.acknowledged() is not None), key=lambda one: one.version)


def undecided(changes):
    """The changes that may come into force, or may be in force unknown to the operator."""
    newest = newest_acknowledged(changes).version
    return [one for one in changes if one.base >= newest and not one.answers]


def possible_owners(changes):
    """Key -> name of its tenant, for all keys that may be in force from now on."""
    found = owners(newest_acknowledged(changes).document)
    for change in undecided(changes):
        found.update(owners(change.document))
    return found


def certain_owners(changes):
    """Key -> name of its tenant, for the keys that no change under way takes away."""
    documents = [one.document for one in (newest_acknowledged(changes), *undecided(changes))]
    first, *others = map(owners, documents)
    return {key: name for key, name in first.items() if all(key in one for one in others)}


def revoked_owners(changes):
    """Key -> name of its former tenant, for the keys that are in force no more, and will not be again."""
    ever = {key: name for one in changes for key, name in owners(one.document).items()}
    possible = possible_owners(changes)
    return {key: name for key, name in ever.items() if key not in possible}

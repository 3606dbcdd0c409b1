"""Tenants of the simulated fleet and their keys in the configurations of its operator."""

PERMANENT_TENANTS = ("acorn", "birch", "cedar", "dogwood")  # in every configuration; they submit jobs
# Prefix of the names of tenants that are added and removed, and only read how many jobs wait.
GUEST_PREFIX = "guest"
KEYS_EACH = 2  # of a tenant in the first configuration
MAXIMA = {
    "acorn": {"cpu": 12_000, "mem_mb": 32_768, "gpu": 4},
    "birch": None,
    "cedar": {"cpu": 8_000, "mem_mb": 0, "gpu": 3},  # 0 means no limit
    "dogwood": {"cpu": 0, "mem_mb": 0, "gpu": 0},
}


def tenant_document(name, keys):
    """A tenant as a configuration lists it."""
    return {"name": name, "keys": list(keys), "weight": 1.0, "maximum": MAXIMA.get(name)}


def first_tenants():
    """The tenants of the first configuration."""
    return [
        tenant_document(name, [f"{name}-key-{number}" for number in range(KEYS_EACH)])
        for name in PERMANENT_TENANTS
    ]


def owners(document):
    """Returns key -> name of its tenant, for all keys of a configuration."""
    return {key: tenant["name"] for tenant in document["tenants"] for key in tenant["keys"]}


def newest_acknowledged(changes):
    """The acknowledged change with the highest version."""
    return max(
        (change for change in changes if change.acknowledged() is not None), key=lambda newest: newest.version
    )


def undecided(changes):
    """The unanswered changes that may come into force, or may already be in force unacknowledged."""
    newest = newest_acknowledged(changes).version
    return [change for change in changes if change.base >= newest and not change.answers]


def possible_owners(changes):
    """Returns key -> name of its tenant, for all keys that may be in force from now on."""
    key_owners = owners(newest_acknowledged(changes).document)
    for change in undecided(changes):
        key_owners.update(owners(change.document))
    return key_owners


def certain_owners(changes):
    """Returns key -> name of its tenant, for the keys that no pending change removes."""
    documents = [change.document for change in (newest_acknowledged(changes), *undecided(changes))]
    first, *others = map(owners, documents)
    return {key: name for key, name in first.items() if all(key in other for other in others)}


def revoked_owners(changes):
    """Returns key -> name of its former tenant, for the keys that are no longer in force and never will be
    again.
    """
    all_owners = {key: name for change in changes for key, name in owners(change.document).items()}
    possible = possible_owners(changes)
    return {key: name for key, name in all_owners.items() if key not in possible}

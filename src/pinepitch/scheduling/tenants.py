"""Tenants: the keys that identify their callers, and the resources that each may use at once."""

import hashlib
import math
from collections.abc import Iterable
from typing import NamedTuple, Self

import voluptuous

from ..common import constants
from ..model.validation import number as _number
from ..model.validation import shaped
from .plain_types import Document, Faults
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, add

_NAME = voluptuous.All(str, voluptuous.Length(min=1, max=constants.MAX_NAME_LENGTH))
_KEY = voluptuous.All(str, voluptuous.Length(min=1, max=constants.MAX_KEY_LENGTH))
_LIMIT = _number(0, constants.MAX_NUMBER)
MAXIMUM_SCHEMA = {  # units as in Tenant.maximum
    voluptuous.Optional("cpu"): _LIMIT,
    voluptuous.Optional("mem_mb"): _LIMIT,
    voluptuous.Optional("gpu"): _LIMIT,
    voluptuous.Extra: object,
}
TENANT_SCHEMA = {
    voluptuous.Required("name"): _NAME,
    voluptuous.Required("keys"): [_KEY],
    voluptuous.Optional("weight"): _number(0, constants.MAX_NUMBER),
    voluptuous.Optional("maximum"): voluptuous.Any(None, MAXIMUM_SCHEMA),
    voluptuous.Extra: object,
}
TENANT_LIST_SCHEMA = voluptuous.Schema([TENANT_SCHEMA])
FINGERPRINT_DIGITS = 8  # the number of hexadecimal digits of a key's digest that make its fingerprint
LIMITED_RESOURCES = ("cpu", "mem_mb", "gpu")  # in the order of resources.Resources


class Tenant(NamedTuple):
    """One tenant. Invariant: `maximum` is infinite for resources that are not limited."""

    name: str
    # Jobs per second; its jobs beyond this rate are in excess. It is also the tenant's share of a service
    # that is full. 0 if the tenant has no weight.
    weight: float
    maximum: Amount  # thousandths of a core, megabytes, accelerators

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a maximum for any resource."""
        return any(math.isfinite(limit) for limit in self.maximum)

    def admits(self, used: Resources, requested: Resources) -> bool:
        """Whether the tenant may use `requested` in addition to `used`."""
        total = add(used, requested)
        return all(total[kind] <= self.maximum[kind] or not requested[kind] for kind in RESOURCE_KINDS)

    def admits_task(self, used: Resources, task: Resources) -> bool:
        """As admits(), for a single task: a task that needs more of a resource than the maximum is admitted
        if the tenant uses nothing else of that resource.
        """
        return all(
            used[kind] + task[kind] <= self.maximum[kind] or not (task[kind] and used[kind])
            for kind in RESOURCE_KINDS
        )


def shared_key_faults(tenants: Iterable[Document]) -> Faults:
    """A fault for each tenant that has a key of an earlier one. The faults do not contain the keys."""
    faults: list[tuple[str, str]] = []
    owners: dict[str, str] = {}
    for tenant in tenants:
        others = {owners[key] for key in tenant["keys"] if owners.get(key, tenant["name"]) != tenant["name"]}
        faults.extend(
            (f"tenants.{tenant['name']}.keys", f"shares a key with {other}") for other in sorted(others)
        )
        owners.update(dict.fromkeys(tenant["keys"], tenant["name"]))
    return tuple(faults)


class Tenants:
    """The tenants of the configuration in force.

    Invariants: keys are looked up by their digests, so that the time that a lookup takes reveals nothing
    about other keys. If a configuration has a valid list of tenants, even an empty one, a key is required on
    every route that is not public.
    """

    def __init__(self, document: Document | None) -> None:
        listed = listed_tenants(document)
        self.keys_required = listed is not None
        self.by_name: dict[str, Tenant] = {}
        self._names_by_digest: dict[bytes, str] = {}  # digest of a key -> name of its tenant
        for tenant in listed or ():
            self.by_name[tenant["name"]] = _parse_tenant(tenant)
            self._names_by_digest.update({_digest(key): tenant["name"] for key in tenant["keys"]})

    def owner(self, key: str) -> str | None:
        """The name of the tenant that a key belongs to, or None."""
        return self._names_by_digest.get(_digest(key))

    def fingerprints(self, name: str) -> list[str]:
        """The fingerprints of a tenant's keys: the first digits of their digests, which distinguish the keys
        without revealing them.
        """
        return sorted(
            _fingerprint(digest) for digest, owner in self._names_by_digest.items() if owner == name
        )

    def limited(self, name: str) -> Tenant | None:
        """The tenant of that name if it has a maximum for any resource, else None."""
        tenant = self.by_name.get(name)
        return tenant if tenant is not None and tenant.is_limited else None


def with_fingerprints(document: Document) -> Document:
    """A configuration in which every key is replaced by its fingerprint. If its tenants are not a valid list,
    so that keys cannot be recognized in it, they are left out.
    """
    listed = listed_tenants(document)
    if listed is None:
        return {part: value for part, value in document.items() if part != "tenants"}
    tenants = [
        {**tenant, "keys": [_fingerprint(_digest(key)) for key in tenant["keys"]]} for tenant in listed
    ]
    return {**document, "tenants": tenants}


def _fingerprint(digest: bytes) -> str:
    return digest.hex()[:FINGERPRINT_DIGITS]


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()


def listed_tenants(document: Document | None) -> list[Document] | None:
    """The list of tenants in a configuration. None if there is no such list, or if it is not valid: versions
    that did not validate tenants accepted any value there.
    """
    tenants: list[Document] | None = (document or {}).get("tenants")
    return None if shaped(TENANT_LIST_SCHEMA, tenants)[1] else tenants


def _parse_tenant(document: Document) -> Tenant:
    """Makes a tenant from its item in a valid configuration."""
    limits = document.get("maximum") or {}
    # A maximum that is 0 or absent means that the resource is not limited.
    cpu, memory, accelerators = (limits.get(resource) or math.inf for resource in LIMITED_RESOURCES)
    return Tenant(document["name"], document.get("weight", 0), (cpu, memory, accelerators))


class TenantCapacity:
    """The capacity that tenants may still be given in the current scheduling round. Invariant: as long as
    no more tasks are charged than allowance() allows, LeasedJobState.assign admits them.
    """

    def __init__(self, tenants: Tenants, used: dict[str, Amount]) -> None:
        self.tenants = tenants
        self.used = dict(used)  # name of a tenant -> resources of its placements

    def allowance(self, name: str, task: Resources, wanted: int) -> int:
        """How many of `wanted` identical tasks the tenant may be given."""
        tenant = self.tenants.limited(name)
        if tenant is None:
            return wanted
        used = self.used.get(name, NO_RESOURCES)
        # One task alone may need more than the maximum; Tenant.admits_task then admits only that one.
        if tenant.admits_task(used, task) and not tenant.admits(used, task):
            return min(wanted, 1)
        counts = [
            max(0, int((tenant.maximum[kind] - used[kind]) // task[kind]))
            for kind in RESOURCE_KINDS
            if task[kind] and math.isfinite(tenant.maximum[kind])
        ]
        return min([wanted, *counts])

    def copy(self) -> Self:
        """A copy that can be charged independently."""
        return type(self)(self.tenants, self.used)

    def charge(self, name: str, resources: Resources) -> None:
        """Counts resources that a tenant is given as used. The name is empty for a job without a tenant."""
        if name:
            self.used[name] = add(self.used.get(name, NO_RESOURCES), resources)

"""Tenants: by which keys their callers are known, and what each may have running at once."""

import hashlib
import math
from collections.abc import Iterable
from typing import NamedTuple, Self

import voluptuous

from ..common import constants
from ..model.validation import number as _number
from ..model.validation import shaped
from .plain_types import Document, Faults
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, more

_NAME = voluptuous.All(str, voluptuous.Length(min=1, max=constants.MAX_NAME_LENGTH))
_KEY = voluptuous.All(str, voluptuous.Length(min=1, max=constants.MAX_KEY_LENGTH))
_LIMIT = _number(0, constants.MAX_NUMBER)
MAXIMUM = {
    voluptuous.Optional("cpu"): _LIMIT,
    voluptuous.Optional("mem_mb"): _LIMIT,
    voluptuous.Optional("gpu"): _LIMIT,
    voluptuous.Extra: object,
}
TENANT = {
    voluptuous.Required("name"): _NAME,
    voluptuous.Required("keys"): [_KEY],
    voluptuous.Optional("weight"): _number(0, constants.MAX_NUMBER),
    voluptuous.Optional("maximum"): voluptuous.Any(None, MAXIMUM),
    voluptuous.Extra: object,
}
TENANTS = voluptuous.Schema([TENANT])
FINGERPRINT_DIGITS = 8  # hexadecimal digits of a key's digest
LIMITED_RESOURCES = ("cpu", "mem_mb", "gpu")  # in the order of resources.Resources


class Tenant(NamedTuple):
    """One tenant. Invariant: maximum has infinity for what is not limited."""

    name: str
    weight: float  # jobs a second; also its share once a service is full. 0 where it has none
    maximum: Amount  # thousandths of a core, megabytes, accelerators

    @property
    def is_limited(self) -> bool:
        """Whether anything that it may have running is limited."""
        return any(math.isfinite(one) for one in self.maximum)

    def admits(self, used: Resources, asked: Resources) -> bool:
        """Whether it may have `asked` running beside what it uses already."""
        after = more(used, asked)
        return all(after[kind] <= self.maximum[kind] or not asked[kind] for kind in RESOURCE_KINDS)

    def admits_task(self, used: Resources, task: Resources) -> bool:
        """The same for a single task; one that asks for more of a resource than the maximum runs where
        nothing else takes of that resource.
        """
        return all(
            used[kind] + task[kind] <= self.maximum[kind] or not (task[kind] and used[kind])
            for kind in RESOURCE_KINDS
        )


def shared_keys(tenants: Iterable[Document]) -> Faults:
    """A fault for each tenant with a key that an earlier one has. No key is named in it."""
    faults: list[tuple[str, str]] = []
    owners: dict[str, str] = {}
    for tenant in tenants:
        others = {owners[key] for key in tenant["keys"] if owners.get(key, tenant["name"]) != tenant["name"]}
        faults.extend(
            (f"tenants.{tenant['name']}.keys", f"shares a key with {one}") for one in sorted(others)
        )
        owners.update(dict.fromkeys(tenant["keys"], tenant["name"]))
    return tuple(faults)


class Tenants:
    """The tenants of the configuration in force. Invariants: keys are held as digests, so that looking one
    up takes no time that tells of others; a configuration that names tenants and their keys asks for one on
    every route that is not public, even when its list is empty.
    """

    def __init__(self, document: Document | None) -> None:
        listed = with_keys(document)
        self.keys_required = listed is not None
        self.by_name: dict[str, Tenant] = {}
        self._names: dict[bytes, str] = {}  # digest of a key -> name of its tenant
        for tenant in listed or ():
            self.by_name[tenant["name"]] = _tenant_of(tenant)
            self._names.update({_digest(key): tenant["name"] for key in tenant["keys"]})

    def owner(self, key: str) -> str | None:
        """The name of the tenant that a key belongs to, or None."""
        return self._names.get(_digest(key))

    def fingerprints(self, name: str) -> list[str]:
        """The first digits of the digest of each key of a tenant: they tell keys apart, and are none."""
        return sorted(_fingerprint(digest) for digest, owner in self._names.items() if owner == name)

    def limited(self, name: str) -> Tenant | None:
        """The tenant of that name if it is limited in what it may have running, else None."""
        tenant = self.by_name.get(name)
        return tenant if tenant is not None and tenant.is_limited else None


def without_keys(document: Document) -> Document:
    """A configuration with the fingerprint of each key in the key's place; without its tenants where they are
    in a form in which keys can't be told.
    """
    listed = with_keys(document)
    if listed is None:
        return {part: one for part, one in document.items() if part != "tenants"}
    tenants = [{**one, "keys": [_fingerprint(_digest(key)) for key in one["keys"]]} for one in listed]
    return {**document, "tenants": tenants}


def _fingerprint(digest: bytes) -> str:
    return digest.hex()[:FINGERPRINT_DIGITS]


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()


def with_keys(document: Document | None) -> list[Document] | None:
    """The tenants that a configuration lists with their keys; None where it lists none, or in a form that
    only versions took which did not look at tenants.
    """
    tenants: list[Document] | None = (document or {}).get("tenants")
    return None if shaped(TENANTS, tenants)[1] else tenants


def _tenant_of(document: Document) -> Tenant:
    """A tenant of its part of a checked configuration."""
    limits = document.get("maximum") or {}
    cpu, memory, accelerators = (limits.get(one) or math.inf for one in LIMITED_RESOURCES)
    return Tenant(document["name"], document.get("weight", 0), (cpu, memory, accelerators))


class TenantCapacity:
    """What tenants may still be given in the round under way. Invariant: as long as no more is charged than
    was allowed, the state admits it.
    """

    def __init__(self, tenants: Tenants, used: dict[str, Amount]) -> None:
        self.tenants = tenants
        self.used = dict(used)  # name of a tenant -> resources of its placements

    def allowance(self, name: str, task: Resources, wanted: int) -> int:
        """How many of `wanted` alike tasks a tenant may be given."""
        tenant = self.tenants.limited(name)
        if tenant is None:
            return wanted
        used = self.used.get(name, NO_RESOURCES)
        if tenant.admits_task(used, task) and not tenant.admits(used, task):
            return min(wanted, 1)
        counts = [
            max(0, int((tenant.maximum[kind] - used[kind]) // task[kind]))
            for kind in RESOURCE_KINDS
            if task[kind] and math.isfinite(tenant.maximum[kind])
        ]
        return min([wanted, *counts])

    def copy(self) -> Self:
        """The same, to be charged by itself."""
        return type(self)(self.tenants, self.used)

    def charge(self, name: str, resources: Resources) -> None:
        """Resources that a tenant is given."""
        if name:
            self.used[name] = more(self.used.get(name, NO_RESOURCES), resources)

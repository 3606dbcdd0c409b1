"""Injected faults of tenants' keys. Each must be found by a check of keys."""

from ...model.decisions import Answer
from ...scheduling import requests
from ...scheduling.configuration import Configuration
from .key_checks import FOREIGN_JOB


def _key_unchecked(leased_jobs, route, key):
    """Handles a call with an unknown key as one that needs no key."""
    return original_caller(leased_jobs, route, key) or ""


def _missing_key_unchecked(leased_jobs, route, key):
    """Handles a call without a key as one that needs none."""
    return original_caller(leased_jobs, route, key) if key else ""


def _keys_not_renewed(self, *change):
    """Still uses the keys from before an amendment after it."""
    before = self.tenants
    outcome = original_amend(self, *change)
    self.tenants = before
    return outcome


def _owner_unchecked(core, host, path, key):
    """Grants every tenant access to every job."""
    route = original_admitted(core, host, path, key)
    if isinstance(route, Answer) and route.status == FOREIGN_JOB:
        return requests._find_route(core, host, path)
    return route


def _keys_from_version_before(self, document):
    """Uses the keys of the version before the one in force."""
    before = getattr(self, "document", None)
    original_put(self, document)
    if before is not None:
        self.tenants = type(self.tenants)(before)


original_caller, original_admitted = requests._calling_tenant, requests._authorized_route
original_amend, original_put = Configuration.amend, Configuration._set_document
KEY_INJECTED_FAULTS = {
    "key-unchecked": [(requests, "_calling_tenant", _key_unchecked)],
    "missing-key-unchecked": [(requests, "_calling_tenant", _missing_key_unchecked)],
    "keys-not-renewed": [(Configuration, "amend", _keys_not_renewed)],
    "keys-one-version-late": [(Configuration, "_set_document", _keys_from_version_before)],
    "owner-unheeded": [(requests, "_authorized_route", _owner_unchecked)],
}

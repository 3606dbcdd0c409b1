"""Injected faults of tenants' keys: each must be found by a check of keys."""

from ...model.decisions import Answer
from ...scheduling import requests
from ...scheduling.configuration import Configuration
from .key_checks import FOREIGN_JOB


def _key_unchecked(leased_jobs, route, key):
    """Takes a call with a key that is no tenant's for one that needs none."""
    return original_caller(leased_jobs, route, key) or ""


def _missing_key_unchecked(leased_jobs, route, key):
    """Takes a call without a key for one that needs none."""
    return original_caller(leased_jobs, route, key) if key else ""


def _keys_not_renewed(self, *change):
    """Goes on with the keys that were in force before an amendment."""
    before = self.tenants
    outcome = original_amend(self, *change)
    self.tenants = before
    return outcome


def _owner_unheeded(core, host, path, key):
    """Lets every tenant at every job."""
    found = original_admitted(core, host, path, key)
    if isinstance(found, Answer) and found.status == FOREIGN_JOB:
        return requests._find_route(core, host, path)
    return found


def _keys_from_version_before(self, document):
    """Goes by the keys of the version before the one in force."""
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
    "owner-unheeded": [(requests, "_authorized_route", _owner_unheeded)],
}

"""Faults injected into the writing of files; the trials must detect each of them."""

import contextlib
import hashlib
from unittest import mock

from ...common import constants, packed_operations
from ...state.archive import Archive
from ...storage.store import Store
from .disk import FileDisk
from .folder import SimulatedFolder


def _written_in_place(self, name, payload):
    """Writes a file directly under its final name, without a rename."""
    body = packed_operations.dumps((constants.FILE_VERSION, payload))
    self.files.write(name, (hashlib.sha256(body).digest(), body))
    self.files.sync()
    self.syncs += 1


original_write_base = Store.write_base


def _removed_before_base(self, payload, version):
    """Removes the steps that a base replaces before the base is written."""
    for name in self.files.names():
        if name.startswith("step-") and name <= f"step-{version:016d}":
            self.files.remove(name)
    self.files.sync()
    original_write_base(self, payload, version)


def _segments_after_base(self):
    """Writes no segments, so that a base that names them becomes durable first."""


def _all_retired_forgotten(self, before):
    """Forgets segments that a base in progress still names."""
    self.retired.clear()


# The registry of injected faults: name -> [(owner, attribute, replacement)].
INJECTED_FAULTS = {
    "names-unsynced": [(SimulatedFolder, "sync", lambda self: self._call())],
    "content-unsynced": [(SimulatedFolder, "sync_content", lambda self, file: None)],
    "written-in-place": [(Store, "_write", _written_in_place)],
    "removed-before-base": [(Store, "write_base", _removed_before_base)],
    "segments-behind-base": [(FileDisk, "write_segments", _segments_after_base)],
    "retired-forgotten": [(Archive, "forget_retired", _all_retired_forgotten)],
}


@contextlib.contextmanager
def injected(name):
    """Applies the injected fault of that name; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield

"""Tombstones: records of cancellations of jobs that were not accepted yet.

A caller may cancel a job while a copy of its submission is still on its way: in a daemon's socket, forwarded
to a leader, or appended to the log. The tombstone is an entry of the log, so every copy that is applied later
finds it, under any leader. It lasts longer than a copy can be on its way.
"""

import collections
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..common import constants
from .plain_types import Image


class Tombstone(NamedTuple):
    """Which submissions a cancellation stops: those of jobs that its caller would be allowed to cancel."""

    identity: str  # of the job
    tenant: str  # of the caller, "" for one without a tenant
    public_queue: str  # the queue that was called if anyone may call it, else ""

    def covers(self, queue: str, tenant: str) -> bool:
        """Whether its caller may cancel a job of that name, queue and tenant ("" for none)."""
        return tenant in ("", self.tenant) or (self.public_queue != "" and self.public_queue == queue)


class Tombstones:
    """The tombstones that are stored. All times are those of the cluster state, in seconds.

    Invariants: `left_at` is ordered by time. There are at most MAX_TOMBSTONES, of which at most
    MAX_TENANT_TOMBSTONES are one tenant's. None is dropped before it is TOMBSTONE_LASTS old.
    """

    def __init__(self, image: Iterable[Iterable[Any]] = ()) -> None:
        self.left_at: dict[Tombstone, float] = {}
        self._by_identity: dict[str, list[Tombstone]] = {}
        self._counts: collections.Counter[str] = collections.Counter()  # by tenant
        for identity, tenant, public_queue, at in image:
            self._add(Tombstone(identity, tenant, public_queue), at)

    def __len__(self) -> int:
        return len(self.left_at)

    def image(self) -> Image:
        """A plain value from which an equal object can be created."""
        return tuple((*tombstone, at) for tombstone, at in self.left_at.items())

    def stops(self, now: float, identity: str, queue: str, tenant: str) -> bool:
        """Whether the submission of a job that belongs to `tenant` ("" for none) was cancelled before."""
        return any(
            now - self.left_at[tombstone] < constants.TOMBSTONE_LASTS and tombstone.covers(queue, tenant)
            for tombstone in self._by_identity.get(identity, ())
        )

    def is_fresh(self, now: float, tombstone: Tombstone) -> bool:
        """Whether an equal tombstone is stored that still outlasts any copy that is on its way now."""
        at = self.left_at.get(tombstone)
        return at is not None and now - at < constants.TOMBSTONE_RENEWED_AFTER

    def has_room(self, now: float, tombstone: Tombstone) -> bool:
        """Whether leave() would store a tombstone, unless others are left before."""
        oldest = next(iter(self.left_at.values()), now)
        return now - oldest >= constants.TOMBSTONE_LASTS or self._admits(tombstone)

    def leave(self, now: float, tombstone: Tombstone) -> bool:
        """Stores a tombstone, or renews it. Returns False if there is no room for it."""
        self._drop_expired(now)
        if not self._admits(tombstone):
            return False
        self._remove(tombstone)
        self._add(tombstone, now)
        return True

    def _admits(self, tombstone: Tombstone) -> bool:
        """Whether the limits allow a tombstone, which may be stored already."""
        return tombstone in self.left_at or (
            len(self.left_at) < constants.MAX_TOMBSTONES
            and self._counts[tombstone.tenant] < constants.MAX_TENANT_TOMBSTONES
        )

    def _drop_expired(self, now: float) -> None:
        while self.left_at:
            oldest, at = next(iter(self.left_at.items()))
            if now - at < constants.TOMBSTONE_LASTS:
                return
            self._remove(oldest)

    def _add(self, tombstone: Tombstone, at: float) -> None:
        self.left_at[tombstone] = at
        self._by_identity.setdefault(tombstone.identity, []).append(tombstone)
        self._counts[tombstone.tenant] += 1

    def _remove(self, tombstone: Tombstone) -> None:
        """Removes a tombstone, if it is stored."""
        if self.left_at.pop(tombstone, None) is None:
            return
        others = self._by_identity[tombstone.identity]
        others.remove(tombstone)
        if not others:
            del self._by_identity[tombstone.identity]
        self._counts[tombstone.tenant] -= 1
        if not self._counts[tombstone.tenant]:
            del self._counts[tombstone.tenant]

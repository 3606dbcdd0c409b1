"""Turns for work that holds the loop for long: one at a time, and at most half of the time."""

import contextlib
import time
from collections.abc import AsyncIterator

import curio


class Pacer:
    """Gives turns in the order in which they were asked for. Invariant: after a turn the loop is free for as
    long as the turn took.
    """

    def __init__(self) -> None:
        self.lock = curio.Lock()
        self.free_until = 0.0  # monotonic clock, seconds; no turn begins before

    @contextlib.asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Waits for a turn, which lasts as long as the context."""
        async with self.lock:
            await curio.sleep(max(0.0, self.free_until - time.monotonic()))
            begun = time.monotonic()
            try:
                yield
            finally:
                ended = time.monotonic()
                self.free_until = ended + (ended - begun)

    async def rest(self, seconds: float) -> None:
        """Waits for a turn, for work of so many seconds that was just done."""
        async with self.lock:
            await curio.sleep(max(0.0, self.free_until - time.monotonic()))
            self.free_until = time.monotonic() + seconds

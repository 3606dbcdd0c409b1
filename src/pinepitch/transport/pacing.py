"""Turns for work that holds the loop for long: in order of arrival, and at most half of the time."""

import math
import time

import curio


class Pacer:
    """Gives turns in the order in which they were asked for. Invariant: a turn begins no earlier than the end
    of the previous one, after which the loop is free for as long as that turn was expected to take.
    """

    def __init__(self) -> None:
        self.free_at = 0.0  # monotonic clock, seconds; the earliest that the next turn begins

    async def turn(self, seconds: float, within: float = math.inf) -> bool:
        """Waits for a turn, for work of so many seconds that follows. False, after `within` seconds: its turn
        would not have begun by then, and the work is not to be done.
        """
        now = time.monotonic()
        begins = max(now, self.free_at)
        if begins - now > within:
            await curio.sleep(within)
            return False
        self.free_at = begins + 2 * seconds
        if begins > now:
            await curio.sleep(begins - now)
        return True

    def exceeded(self, seconds: float) -> None:
        """Records that the work of a turn has just taken so many seconds more than expected."""
        self.free_at = max(self.free_at, time.monotonic()) + 2 * max(0.0, seconds)

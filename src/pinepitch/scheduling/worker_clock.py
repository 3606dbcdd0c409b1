"""Tells by a worker's own clock how late its heartbeats arrive."""

from ..common import constants


class WorkerClock:
    """The steady clock of one worker, as its heartbeats show it.

    A heartbeat is late if it took over HEARTBEAT_STALE seconds longer to arrive than the fastest one. So the
    first one, or one after even later ones, may be late without being recognized; a faster one shows then
    that all before it were.
    """

    def __init__(self, now: float) -> None:
        # The minimum of the receiver's time minus the worker's clock, milliseconds. It grows over time by the
        # clock drift that is allowed for.
        self._offset: float | None = None
        self._offset_at = now
        self.earlier_were_late = False  # whether the newest heartbeat shows that all before it were late

    def is_late(self, clock_ms: float, now: float) -> bool:
        """Records a heartbeat that was sent at `clock_ms` and arrives at `now`; whether it is late."""
        offset = now * 1000 - clock_ms
        if self._offset is None:
            self._offset = offset
        fastest = self._offset + (now - self._offset_at) * constants.CLOCK_DRIFT * 1000
        stale = constants.HEARTBEAT_STALE * 1000
        self.earlier_were_late = fastest - offset > stale
        self._offset, self._offset_at = min(fastest, offset), now
        return offset - self._offset > stale

"""Which mechanisms take part in scheduling decisions. All do in a deployment; tests and trials switch single
ones off to tell what each contributes (docs/decisions.md).
"""

from typing import NamedTuple


class Policy(NamedTuple):
    """Invariant: no field bears on whether a run may start, only on which does, where and when."""

    reserve_for_urgent: bool = True  # from work that would keep it for longer than more urgent work can wait
    heed_weights: bool = True  # jobs beyond their tenant's weight come after all others
    guarantee_shares: bool = True  # to each urgency whose work has waited as long as it well can
    keep_seats: bool = True  # for the first waves that have been short of capacity for long
    yielding: bool = True  # less urgent runs end for a wave that candidates are kept for
    rank_by_due: bool = True  # within an urgency; else by acceptance
    rank_by_turns: bool = True  # a step wider than a part of its service is due later
    prefer_near: bool = True  # workers beside the data
    wait_near: bool = True  # for capacity beside the data rather than start away from it
    avoid_hot_racks: bool = True  # by work that wants no data
    prefer_fast_workers: bool = True  # by what is learnt of their speed
    avoid_troubled_workers: bool = True  # no new work for a while at a worker that refused or stalled some
    stop_stalled: bool = True
    stop_slow: bool = True
    gang_in_one_rack: bool = True  # where its step asks for that
    defer_idle_heartbeats: bool = True  # an idle worker's stays open, so that a start reaches it at once


DEFAULT = Policy()

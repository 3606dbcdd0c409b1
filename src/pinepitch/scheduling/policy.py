"""Which mechanisms take part in scheduling decisions. A deployment enables all of them; tests and trials
disable single ones to measure what each contributes (docs/decisions.md).
"""

from typing import NamedTuple


class Policy(NamedTuple):
    """Whether each mechanism is enabled. Invariant: no field affects whether a run may start, only which run
    starts, where and when.
    """

    # reserve capacity from work that would occupy it for longer than more urgent work can wait
    reserve_for_urgent: bool = True
    enforce_tenant_weights: bool = True  # rank jobs beyond their tenant's weight after all others
    guarantee_shares: bool = True  # to each priority whose work has waited for as long as it can
    reserve_for_waiting: bool = True  # reserve workers for batches that have long been short of capacity
    preempt: bool = True  # stop less urgent runs for a batch that candidates are reserved for
    rank_by_due_time: bool = True  # within a priority; otherwise by the time of acceptance
    rank_by_outlook: bool = True  # within a priority, jobs that can still be in time come first
    rank_by_step_width: bool = True  # a step that needs much of its service's capacity is due later
    prefer_data_locality: bool = True  # prefer workers near the data
    wait_for_data_locality: bool = True  # wait for capacity near the data rather than start far from it
    avoid_contended_racks: bool = True  # for work that prefers no rack
    prefer_fast_workers: bool = True  # by their estimated speed
    # give no new work for a while to a worker that refused a start or whose run stalled
    avoid_failing_workers: bool = True
    stop_stalled: bool = True
    stop_slow: bool = True
    gang_in_one_rack: bool = True  # if its step asks for that
    defer_idle_heartbeats: bool = True  # delay the answer to an idle worker, so that a start is sent at once


DEFAULT = Policy()

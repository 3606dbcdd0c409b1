"""What a run of a fleet shows: a summary, and the faults that the history checks find."""

from typing import Any

from .. import checks
from .client_traffic import Traffic
from .plans import History
from .processes import Fleet


def first_starts(worker_history: History) -> dict[str, float]:
    """When the first task of each job started, in seconds since the epoch, by the job's identity."""
    first: dict[str, float] = {}
    for event in worker_history:
        if event[0] == "start":
            pushed_job = event[4].partition("/")[0]
            first[pushed_job] = min(first.get(pushed_job, 1e18), event[1])
    return first


def summary(history: History, worker_history: History) -> dict[str, Any]:
    """Figures of a run, from the histories alone."""
    accept = sorted(event[4] for event in history if event[0] == "accepted")
    accepted_at = {event[3]: event[1] - event[4] for event in history if event[0] == "accepted"}
    first = first_starts(worker_history)
    start = sorted(
        first[pushed_job] - accepted_at[pushed_job] for pushed_job in first if pushed_job in accepted_at
    )
    states: dict[str, int] = {}
    for event in history:
        if event[0] == "final":
            states[event[3]] = states.get(event[3], 0) + 1

    def at(values: list[float], part: float) -> float | None:
        return round(values[min(len(values) - 1, int(part * len(values)))], 4) if values else None

    return {
        "accepted": len(accept),
        "shed": sum(one[0] == "shed" for one in history),
        "unanswered": sum(one[0] == "unanswered" for one in history),
        "states": states,
        "accept_median": at(accept, 0.5),
        "accept_99": at(accept, 0.99),
        "start_median": at(start, 0.5),
        "start_99": at(start, 0.99),
        "started": sum(one[0] == "start" for one in worker_history),
    }


def check(fleet: Fleet, traffic: Traffic) -> list[str]:
    """Faults that the history checks find in a fleet run."""
    documents = {pushed_job: one[2] for pushed_job, one in traffic.caller.accepted.items()}
    capacities = {one[0]: one[3] for one in fleet.workers}
    return checks.all_checks(
        traffic.caller.history,
        fleet.worker_history(),
        documents,
        fleet.plan.queue_configuration["queues"],
        capacities,
        fleet.absences,
        fleet.operator.withdrawn,
    )

"""Fault scenarios of load: many, large and unplaceable jobs, gangs while little capacity is free."""

from typing import Any

from .. import checks
from ..simulator import LOSS, START, Simulator
from ..stand_in_operator import Operator


def crowds(simulator: Simulator, operator: Operator) -> None:
    """Crowds, large and urgent jobs at once, impossible ones piling up."""
    for one in simulator.callers.values():
        one.rate = 6.0
    impossible = []
    for place in range(10):
        status, answer = simulator.persist(
            "POST",
            "/v1/tickets",
            {
                "queue": "default",
                "urgency": 9,
                "key": f"impossible{place}",
                "tasks": [{"name": "x", "labels": ["unheard-of"]}, {"name": "y", "units": 40}],
            },
        )
        if status in (200, 201):
            impossible.append(answer["ticket"])
    got: list[tuple[float, int, Any]] = []
    large = {
        "queue": "default",
        "urgency": 1,
        "key": "large",
        "tasks": [{"name": f"s{one}", "work": {"seconds": 0.05}} for one in range(400)],
    }
    simulator.call("operator", 0, 1, "POST", "/v1/tickets", large, ("plain", got))
    simulator.run(8)
    for one in simulator.callers.values():
        one.rate = 1.0
    simulator.run(4)
    for pushed_job in impossible:
        if not operator.act(f"/v1/tickets/{pushed_job}/cancel"):
            operator.faults.append(f"impossible {pushed_job} could not be cancelled")


def scattered(simulator: Simulator, operator: Operator) -> None:
    """Gangs while capacity is scattered: little is free, and never much in one place."""
    for one in simulator.callers.values():
        one.traffic = (
            (
                "gang",
                1.5,
                {"queue": "default", "urgency": 4, "count": 3, "shape": "gang", "units": 5, "seconds": 0.6},
            ),
            (
                "job",
                8.0,
                {"queue": "default", "urgency": 4, "count": 2, "shape": "fan", "units": 3, "seconds": 0.7},
            ),
        )
        one.fail = 0.0
    simulator.loss = 0.0
    begun = START + simulator.now
    simulator.run(12)
    simulator.loss = LOSS
    documents = {
        pushed_job: one[2]
        for caller in simulator.callers.values()
        for pushed_job, one in caller.accepted.items()
        if one[1] >= begun
    }
    operator.faults.extend(checks.gangs_together(simulator.worker_history, documents))


def impossible(simulator: Simulator, operator: Operator) -> None:
    """Impossible jobs pile up until they are shed, each with its reason; good work goes on."""
    rejected, made = 0, []
    for place in range(60):
        document = {
            "queue": "default",
            "urgency": 9,
            "key": f"impossible{place}",
            "tasks": [{"name": f"s{one}", "labels": ["unheard-of"]} for one in range(50)],
        }
        status, answer = simulator.ask("POST", "/v1/tickets", document)
        if status == 201:
            made.append(answer["ticket"])
            if "unheard-of" not in answer["parked"]:
                operator.faults.append("an impossible ticket was taken without a word")
        elif status == 429:
            rejected += 1
            if "unheard-of" not in answer["error"]["message"]:
                operator.faults.append(f"an impossible ticket was shed without its reason: {answer}")
    if not rejected or len(made) > 45:
        operator.faults.append(f"{len(made)} impossible tickets were taken, {rejected} shed")
    simulator.run(6)
    for caller in simulator.callers.values():
        if any(one[0] == "shed" for one in caller.history):
            operator.faults.append("good work was shed because of impossible work")
    for pushed_job in made:
        simulator.persist("POST", f"/v1/tickets/{pushed_job}/cancel")


def crowds_ten(simulator: Simulator, operator: Operator) -> None:
    """Ten times the traffic against a small bound: shed at once, come back, nothing lost,
    urgent work hardly later.
    """
    operator.change({"queues": {"default": {"pending": 60}}})
    begun = operator.now()
    simulator.callers["caller"].rate = 10.0
    simulator.run(8)
    simulator.callers["caller"].rate = 1.0
    caller = simulator.callers["caller"]
    rejected = [one for one in caller.history if one[0] == "shed"]
    if not rejected:
        operator.faults.append("ten times the traffic shed nothing")
    if any(one[3] > 1.0 for one in rejected):
        operator.faults.append(f"a ticket was shed only after {max(one[3] for one in rejected):.1f} s")
    simulator.run(6)
    first: dict[str, float] = {}
    for event in simulator.worker_history:
        if event[0] == "start":
            first.setdefault(event[4].partition("/")[0], event[1])
    late = sorted(
        first.get(pushed_job, operator.now()) - accepted
        for pushed_job, (_, accepted, document) in caller.accepted.items()
        if document["queue"] == "urgent" and accepted > begun
    )
    if len(late) > 10 and late[len(late) // 2] > 1.0:
        operator.faults.append(f"urgent work started {late[len(late) // 2]:.1f} s late in the median")
    leader = simulator.leader()
    if leader is not None and leader.core.cluster_state.waiting_counts.get("default", 0) > 60 + 40:
        operator.faults.append(
            f"{leader.core.cluster_state.waiting_counts['default']} tasks wait, over the bound"
        )

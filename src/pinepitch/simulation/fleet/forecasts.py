"""Compares the forecasts of rehearsals with what fleets of processes then do."""

import copy
import json
import tempfile
import time
from typing import Any

import curio

from .client_traffic import Traffic
from .plans import PLANS, History
from .processes import Fleet
from .results import first_starts

# What a forecast is tried on: (plan, queue, a narrow and a wide limit for it).
FORECASTS = (("nkansah", "imaging", 2, 16), ("pinturas", "lab", 1, 16))


async def forecast(one: Fleet, queue: str, before: int, after: int, seconds: float) -> dict[str, Any]:
    """A draft from one limit to another is rehearsed and put in force by the emergency way;
    its forecast beside the waits that callers and workers then saw.
    """
    one.plan.queue_configuration["queues"][queue].update(share=before, limit=before)
    one.start_all()
    try:
        await one.set_up()
        traffic = Traffic(one, 0, 1.0, 0.0, cancels=0.0)
        running = await curio.spawn(traffic.run, 2 * seconds + 120)
        await curio.sleep(seconds)
        version = (await one.operator.persist("GET", "/v1/setup")).document["version"]
        patch = {"queues": {queue: {"share": after, "limit": after}}}
        measure = await _rehearsed(one, version, patch)
        await one.operator.change(patch, version)
        changed = time.time()
        await curio.sleep(seconds)
        await running.cancel()
        waits = _waits(traffic, one.worker_history(), queue, changed)
        return _comparison(measure, queue, waits)
    finally:
        one.stop()


async def _rehearsed(one: Fleet, version: int, patch: dict[str, Any]) -> dict[str, Any]:
    """The measurement of a draft that patches a version."""
    answer = await one.operator.persist("POST", "/v1/drafts", {"base": version, "patch": patch})
    draft = answer.document["draft"]
    await one.operator.persist("POST", f"/v1/drafts/{draft}/rehearse")

    async def measured() -> Any:
        answer = await one.operator.persist("GET", f"/v1/drafts/{draft}")
        return answer.document["state"] == "measured" and answer.document["measure"]

    return await one.until(measured, 90, "the measurement")


def _waits(traffic: Traffic, worker_history: History, queue: str, changed: float) -> dict[str, list[float]]:
    """Seconds from the acceptance of each job of a queue to its first start, before and after a change."""
    first = first_starts(worker_history)
    waits: dict[str, list[float]] = {"before": [], "after": []}
    for pushed_job, (_, accepted, document) in traffic.caller.accepted.items():
        if document["queue"] == queue:
            waits["before" if accepted < changed else "after"].append(
                first.get(pushed_job, time.time()) - accepted
            )
    return waits


def _comparison(measure: dict[str, Any], queue: str, waits: dict[str, list[float]]) -> dict[str, Any]:
    """What was forecast beside what was seen, as printed."""
    line = next(line for line in measure["queues"] if line["queue"] == queue)
    seen = {
        name: round(sorted(found)[len(found) // 2], 3) if found else None for name, found in waits.items()
    }
    return {
        "verdict": measure["verdict"],
        "why": measure["why"],
        "forecast_median": [line["wait_median"], line["draft_wait_median"]],
        "seen_median_first_start": [seen["before"], seen["after"]],
        "tickets": [len(waits["before"]), len(waits["after"])],
    }


def forecasts(seconds: float = 20) -> None:
    """Prints, for each deployment, what rehearsal forecast of a good and of a bad draft and
    what was then seen.
    """
    for plan, queue, narrow, wide in FORECASTS:
        for before, after in ((narrow, wide), (wide, narrow)):
            with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
                observed = curio.run(
                    forecast, Fleet(copy.deepcopy(PLANS[plan]), folder), queue, before, after, seconds
                )
            print(f"{plan} {queue}.limit {before} -> {after}: {json.dumps(observed)}", flush=True)

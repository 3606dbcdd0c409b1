"""Runs fleets of processes under their traffic, with a fault half way if one is named."""

import json
import os
import sys
import tempfile
import time
from typing import Any

import curio

from .client_traffic import Traffic
from .faults import FLEET_FAULTS
from .plans import PLANS
from .processes import Fleet
from .results import check, summary


def fleet(
    plan: str = "nkansah",
    seconds: float = 20,
    rate: float = 1.0,
    seed: int = 0,
    folder: str | None = None,
    level: str = "warning",
    fault: str = "",
) -> None:
    """Runs a deployment as processes under its traffic and checks the histories.

    Args:
        plan: small, nkansah or pinturas.
        seconds: how long jobs come.
        rate: times the brief's traffic.
        fault: what to do half way; `pinepitch disturbances` runs all.

    """
    folder = folder or tempfile.mkdtemp(prefix="pinepitch-")
    os.makedirs(folder, exist_ok=True)
    result = curio.run(run, Fleet(PLANS[plan], folder, level), seconds, rate, seed, fault)
    print(json.dumps(result, indent=2))
    if result["faults"] or result["unfinished"]:
        sys.exit(1)


async def run(
    one: Fleet, seconds: float, rate: float = 1.0, seed: int = 0, fault: str = ""
) -> dict[str, Any]:
    """One fleet from its start to its checks; what was seen."""
    begun = time.monotonic()
    one.start_all()
    try:
        await one.set_up()
        up = time.monotonic() - begun
        traffic = Traffic(one, seed, rate)
        running = await curio.spawn(traffic.run, seconds)
        observed = None
        if fault:
            await curio.sleep(min(5.0, seconds / 2))
            observed = await FLEET_FAULTS[fault](one)
        unfinished = await running.join()
        figures = await one.call("GET", "/v1/figures")
        history = one.worker_history()
        return {
            "served_after": round(up, 2),
            "disturbed": observed,
            "figures": getattr(figures, "document", None),
            "summary": summary(traffic.caller.history, history),
            "unfinished": unfinished[:20],
            "faults": (check(one, traffic) + await one.operator.check())[:20],
            "folder": one.folder,
        }
    finally:
        one.stop()


def run_faults(
    plans: str | list[str] = "nkansah,pinturas", only: str | list[str] = "", seconds: float = 12
) -> None:
    """Runs every fault of the registry on the plans, one after another, and prints a table.

    Args:
        plans: names of plans, parted by commas.
        only: names of faults, parted by commas; all when empty.
        seconds: how long jobs come in each run.

    """
    names = [one for one in (only.split(",") if isinstance(only, str) else only) if one] or list(FLEET_FAULTS)
    failed = 0
    print(f"{'plan':10}{'disturbance':20}{'accepted':>9}{'shed':>6}{'faults':>7}  seen")
    for plan in plans.split(",") if isinstance(plans, str) else plans:
        for name in names:
            with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
                try:
                    result = curio.run(run, Fleet(PLANS[plan], folder), seconds, 1.0, 0, name)
                except TimeoutError as late:
                    result = {
                        "summary": {"accepted": 0, "shed": 0},
                        "faults": [str(late)],
                        "unfinished": [],
                        "disturbed": None,
                    }
            faults = result["faults"] + [f"unfinished: {one}" for one in result["unfinished"]]
            failed += bool(faults)
            seen = result["summary"]
            print(
                f"{plan:10}{name:20}{seen['accepted']:9}{seen['shed']:6}{len(faults):7}"
                f"  {json.dumps(result['disturbed'])}",
                flush=True,
            )
            for one in faults[:4]:
                print(f"    {one}", flush=True)
    print(f"{failed} runs with faults")
    if failed:
        sys.exit(1)

"""A tenant hands in a job of two tasks that ask for no cores, no memory and no accelerators."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MINIONS = 6
RESTART_DELAY_S = 0.5
FINISH_S = harness.BOUNDS["finish_s"]
ASK_S = 15.0  # jobs and the configuration are asked for so long, again and again
OTHERS = {
    "taskSpec": "work_ms=3000",
    "steps": [{"taskCount": 3, "cpuUnits": 2000, "taskMemoryMb": 64, "estimatedMs": 3000}],
}
SMALL_STEP = {"taskCount": 2, "estimatedMs": 1000}  # "Values that are 0, false or empty are omitted."


def small_job():
    step = SMALL_STEP if harness.trouble() else {**SMALL_STEP, "cpuUnits": 100}
    return {"taskSpec": "work_ms=1000", "steps": [step]}


def play(record, fleet, minions):
    harness.begin(record, fleet, minions, MINIONS, ("lab", "mostrador"))
    stop = threading.Event()
    platform = threading.Thread(target=_restart, args=(fleet, stop))
    platform.start()
    try:
        clients = {name: harness.Client(fleet, record, name) for name in ("lab", "mostrador")}
        jobs = {name: harness.identity() for name in clients}
        if clients["mostrador"].submit(jobs["mostrador"], OTHERS) != 200:
            raise harness.CannotRunError("the job of the other tenant was not accepted")
        if clients["lab"].submit(jobs["lab"], small_job()) != 200:
            raise harness.CannotRunError("the small job was not accepted")
        time.sleep(FINISH_S)  # the traffic has ended with these two jobs
        states, version = {}, None
        until = time.monotonic() + ASK_S
        while time.monotonic() < until and (
            version is None or set(states.values()) != {"completed"} or len(states) < 2
        ):
            for name, client in clients.items():
                state = client.state(jobs[name])
                if state is not None:
                    states[name] = state
            version = version or _configuration(fleet, record)
            time.sleep(0.5)
    finally:
        stop.set()
        platform.join()
    found = [
        f"LOST: the job of {name} was accepted, and is not answered {FINISH_S} s after the traffic, nor for {ASK_S:.0f} s more"
        for name in clients
        if name not in states
    ]
    if version is None:
        found.append("CONFIG: the configuration was acknowledged, and does not come when it is read back")
    often = [f"{name} {count} times" for name, count in fleet.own_ends.items() if count >= 3]
    if len(often) >= 2:
        found.append(f"Fault: on half of the core processes ended by themselves: {', '.join(often)}")
    if not found and set(states.values()) != {"completed"}:
        raise harness.CannotRunError(f"the jobs are {states}")
    return found


def _restart(fleet, stop):
    while not stop.wait(RESTART_DELAY_S):
        fleet.restart_ended()


def _configuration(fleet, record):
    for address in fleet.controls():
        status, body = harness.call(address, "GET", "/api/Configuration.Read", timeout=1.0)
        record.line(f"operator: Configuration.Read at {address}: {status or 'no answer'} {body[:60]}")
        if status == 200:
            return json.loads(body)["configVersion"]
    return None


harness.main(FOLDER, play)

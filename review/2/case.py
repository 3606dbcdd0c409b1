"""A minion is taken away in a planned way while a job with more than 500 tasks at work on it ends."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MINIONS = 16  # one of them leaves: a share of 0.0625, the site's largest for planned leaving is 0.065
TASKS = 700  # 28 of the 32 cores of one minion
WORK_S = 3.0
DRAIN_AFTER_S = (
    1.5  # the minion serves on for drainMs (2 s) from then on, so all its tasks end before it leaves
)
JOB = {
    "taskSpec": f"work_ms={int(WORK_S * 1000)}",
    "steps": [
        {"taskCount": TASKS, "cpuUnits": 40, "taskMemoryMb": 64, "estimatedMs": int(WORK_S * 1000)},
    ],
}


def play(record, fleet, minions):
    harness.begin(record, fleet, minions, MINIONS)
    client, job = harness.Client(fleet, record), harness.identity()
    if client.submit(job, JOB) != 200:
        raise harness.CannotRunError("the job was not accepted")
    until = time.monotonic() + 5
    while time.monotonic() < until and sum(len(minion.running) for minion in minions) < TASKS:
        time.sleep(0.01)
    largest = max(minions, key=lambda minion: len(minion.running))
    record.line(f"{largest.identity} runs {len(largest.running)} tasks")
    time.sleep(DRAIN_AFTER_S)
    if harness.trouble():
        largest.drain()
    until = time.monotonic() + 30
    while time.monotonic() < until and client.state(job) != "completed":
        time.sleep(0.5)
    time.sleep(3.0)
    return harness.twice(minions)


harness.main(FOLDER, play)

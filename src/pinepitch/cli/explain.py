"""pinepitch explain: why each task of a job was placed where it was, or why it waits."""

import re
from collections.abc import Sequence
from typing import Any

import fire

from .front_commands import Document, FrontCommands, text_argument
from .leased_jobs import LeasedJobCommands
from .text_tables import table

LEASED_JOB = re.compile(r"[0-9a-fA-F]{16}")  # names of leased jobs; names of pushed jobs begin with t


def explanation(document: Document) -> str:
    """The explanation of a pushed job as text."""
    lines = _job_lines(document)
    for task in document["tasks"]:
        lines += _task_lines(task)
    return "\n".join(lines)


def _job_lines(document: Document) -> list[str]:
    lines = [
        f"{document['ticket']} in {document['queue']}, urgency {document['urgency']}: {document['state']}",
        f"placing epoch {document['placing'][0]}, queue configuration version {document['setup_version']}, "
        f"queue: {document['credits']} credits, {document['running_units']} units running of "
        f"{document['limit']}",
    ]
    if document["parked"]:
        lines.append(f"unplaceable when it came: {document['parked']}")
    return lines


def _task_lines(task: dict[str, Any]) -> list[str]:
    attempts = task["attempts"] or "any"
    lines = [
        f"\n{task['task']}: {task['state']} (attempt {task['attempt']}, {task['failures']} of "
        f"{attempts} attempts failed)",
        f"  {task['why']}",
    ]
    lines += [_attempt_line(attempt) for attempt in task["attempts_made"]]
    if task.get("yields_to"):
        lines.append(f"  asked to yield to {task['yields_to']}")
    if task.get("candidates"):
        lines.append("  " + table(task["candidates"]).replace("\n", "\n  "))
    return lines


def _attempt_line(attempt: dict[str, Any]) -> str:
    lenders = ", ".join(f"{credits} of {queue}" for queue, credits in attempt["lenders"])
    seconds = attempt["ended"] - attempt["placed"]
    return (
        f"  attempt {attempt['attempt']} on {attempt['minion']} by front daemon {attempt['verge']}: "
        f"{attempt['how']} after {seconds:.3f} s (epoch {attempt['epoch']}, queue configuration "
        f"{attempt['setup_version']}, credits: {lenders})"
    )


@text_argument("job")  # the name of a leased job may look like a number
def run(job: str, front: str | None = None, json: bool = False) -> None:
    """Explains a job from the cluster state: candidates, why each was excluded, credits, epoch.

    Args:
        job: the name of a pushed job (t...) or a leased one (16 hex digits).
        front: IP:PORT of the front daemon to ask.
        json: whether to print the answer as JSON.

    """
    if LEASED_JOB.fullmatch(job):
        LeasedJobCommands(front, json).show(job)
    else:
        FrontCommands(front, json)._get(f"/v1/tickets/{job}/whence", explanation)


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the command with the given arguments, by default those of the process."""
    fire.Fire(run, command=arguments, name="pinepitch explain")

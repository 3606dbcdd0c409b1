"""whence: why each task of a ticket or job went where it went, or why it waits."""

import re

import fire
from fire.decorators import SetParseFn

from .front_commands import FrontCommands, table
from .jobs import Job

JOB = re.compile(r"[0-9a-fA-F]{16}")  # what names a job; a ticket's name begins with t


def explanation(document):
    """The explanation in words."""
    lines = [
        f"{document['ticket']} in {document['queue']}, urgency {document['urgency']}: {document['state']}",
        f"placing epoch {document['placing'][0]}, setup version {document['setup_version']}, queue: "
        f"{document['credits']} credits, {document['running_units']} units running of {document['limit']}",
    ]
    if document["parked"]:
        lines.append(f"parked when it came: {document['parked']}")
    for task in document["tasks"]:
        attempts = task["attempts"] or "any"
        lines.append(
            f"\n{task['task']}: {task['state']} (attempt {task['attempt']}, {task['failures']} of "
            f"{attempts} attempts failed)"
        )
        lines.append(f"  {task['why']}")
        for one in task["attempts_made"]:
            lenders = ", ".join(f"{credits} of {queue}" for queue, credits in one["lenders"])
            lines.append(
                f"  attempt {one['attempt']} on {one['minion']} by verge {one['verge']}: {one['how']} after "
                f"{one['ended'] - one['placed']:.3f} s (epoch {one['epoch']}, setup {one['setup_version']}, "
                f"credits: {lenders})"
            )
        if task.get("yields_to"):
            lines.append(f"  asked to yield to {task['yields_to']}")
        if task.get("candidates"):
            lines.append("  " + table(task["candidates"]).replace("\n", "\n  "))
    return "\n".join(lines)


@SetParseFn(str, "ticket")  # a job's name may look like a number
def run(ticket, verge=None, json=False):
    """Explains a ticket or job from the record: candidates, what ruled each out, credits, epoch."""
    if JOB.fullmatch(ticket):
        Job(verge, json).show(ticket)
    else:
        FrontCommands(verge, json)._get(f"/v1/tickets/{ticket}/whence", explanation)


def main():
    fire.Fire(run, name="whence")

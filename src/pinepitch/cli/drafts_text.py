"""Drafts of the queue table as text: their cells, the results of a rehearsal, and its verdict."""

from typing import Any

from .front_commands import Document
from .text_tables import table

DRAFTS_COLUMNS = ("draft", "base", "state", "verdict", "stale", "who", "why")
CELL_COLUMNS = ("cell", "in force", "draft")
MEASURE_COLUMNS = ("queue", "figure", "in force", "draft", "difference")
MEASURED = ("wait_median", "wait_99", "dues_missed", "failed", "shed", "room_used", "preemptions")


def drafts_text(document: Document) -> str:
    """A listing of drafts as a table."""
    rows = [{**draft, "verdict": (draft["measure"] or {}).get("verdict")} for draft in document["drafts"]]
    return table(rows, DRAFTS_COLUMNS)


def draft_text(document: Document) -> str:
    """One draft with its cells and its measure."""
    stale = ", stale: another change came first" if document["stale"] else ""
    cells = [dict(zip(CELL_COLUMNS, cell, strict=False)) for cell in document["cells"]]
    lines = [
        f"draft {document['draft']} on version {document['base']}: {document['state']}{stale}",
        table(cells, CELL_COLUMNS),
    ]
    if document["measure"]:
        lines += _measure_lines(document["measure"])
    return "\n".join(lines)


def _measure_lines(measure: dict[str, Any]) -> list[str]:
    rows = []
    for queue in measure["queues"]:
        rows += _queue_rows(queue)
    return [
        table(rows, MEASURE_COLUMNS),
        f"measured on {measure['tickets']} recent pushed jobs: {measure['why']}",
        f"verdict: {measure['verdict']}",
    ]


def _queue_rows(queue: dict[str, Any]) -> list[dict[str, Any]]:
    """One row for each value of a queue, except values that are 0 both in the active table and the draft."""
    rows = []
    for name in MEASURED:
        before, after = queue[name], queue[f"draft_{name}"]
        if before or after:
            values = (queue["queue"], name, before, after, round(after - before, 4))
            rows.append(dict(zip(MEASURE_COLUMNS, values, strict=True)))
    return rows

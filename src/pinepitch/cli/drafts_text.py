"""Drafts of the queue table as text.

A draft is a proposed change of the queue table. Each of its cells is one changed setting of one queue. A
draft is tried out in a rehearsal, on recent pushed jobs; the result, with the values of each queue and a
verdict, is the field "measure" of the draft's document.
"""

from typing import Any

from .front_commands import Document
from .text_tables import table

DRAFTS_COLUMNS = ("draft", "base", "state", "verdict", "stale", "who", "why")
CELL_COLUMNS = ("cell", "in force", "draft")
# headings of the table of a rehearsal
REHEARSAL_COLUMNS = ("queue", "figure", "in force", "draft", "difference")
# the rows of that table: keys of a queue in the document, with the prefix "draft_" for the draft
REHEARSED_VALUES = ("wait_median", "wait_99", "dues_missed", "failed", "shed", "room_used", "preemptions")


def drafts_text(document: Document) -> str:
    """A listing of drafts as a table."""
    rows = [{**draft, "verdict": (draft["measure"] or {}).get("verdict")} for draft in document["drafts"]]
    return table(rows, DRAFTS_COLUMNS)


def draft_text(document: Document) -> str:
    """One draft with its cells and the result of its rehearsal."""
    stale = ", stale: another change came first" if document["stale"] else ""
    cells = [dict(zip(CELL_COLUMNS, cell, strict=False)) for cell in document["cells"]]
    lines = [
        f"draft {document['draft']} on version {document['base']}: {document['state']}{stale}",
        table(cells, CELL_COLUMNS),
    ]
    if document["measure"]:
        lines += _rehearsal_lines(document["measure"])
    return "\n".join(lines)


def _rehearsal_lines(rehearsal: dict[str, Any]) -> list[str]:
    rows = []
    for queue in rehearsal["queues"]:
        rows += _queue_rows(queue)
    return [
        table(rows, REHEARSAL_COLUMNS),
        f"measured on {rehearsal['tickets']} recent pushed jobs: {rehearsal['why']}",
        f"verdict: {rehearsal['verdict']}",
    ]


def _queue_rows(queue: dict[str, Any]) -> list[dict[str, Any]]:
    """One row for each value of a queue, except values that are 0 both in the active table and the draft."""
    rows = []
    # Values have 4 decimals, as control.rehearsal rounds them; so do the differences.
    for name in REHEARSED_VALUES:
        before, after = queue[name], queue[f"draft_{name}"]
        if before or after:
            values = (queue["queue"], name, before, after, round(after - before, 4))
            rows.append(dict(zip(REHEARSAL_COLUMNS, values, strict=True)))
    return rows

"""Commands for the queue table and the drafts that change it."""

import csv
import json
import sys
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import curio

from .drafts_text import draft_text, drafts_text
from .exit_codes import ExitCode, leave
from .front_commands import Document, FrontCommands, finish, request
from .text_tables import flat, table

REHEARSAL_POLL_INTERVAL = 0.3  # seconds
FIRST_ROW = 2  # line number of the first row of a CSV file, after the line of columns


class Cell(NamedTuple):
    """A cell of a CSV file with its value."""

    queue: str
    column: str
    value: Any


class QueueTableCommands(FrontCommands):
    """show, csv, edit, read, drafts, draft, rehearse, approve, drop."""

    def show(self) -> None:
        """Shows the active queue table."""
        self._get("/v1/table", _table_text)

    def csv(self) -> None:
        """Prints the table as CSV, to be edited and then read with `read`."""
        rows = self._active_table()["rows"]
        writer = csv.DictWriter(sys.stdout, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)

    def edit(self, *cells: str, base: int | None = None, why: str = "") -> None:
        """Creates a draft from cells, each QUEUE.COLUMN=VALUE, based on version `base` (by default the
        active one).
        """
        changes = {}
        for cell in cells:
            name, equals, value = str(cell).partition("=")
            if not equals:
                leave(ExitCode.WRONG_USE, f"{cell}: expected QUEUE.COLUMN=VALUE")
            changes[name] = _value(value)
        self._draft({"base": self._base(base), "cells": changes}, why)

    def read(self, file: str, base: int | None = None, why: str = "") -> None:
        """Creates a draft from the cells of a CSV file that differ from the active table."""
        current = self._active_table()
        before = {row["queue"]: row for row in current["rows"]}
        changes = {}
        for cell in read_cells(file):
            if before.get(cell.queue, {}).get(cell.column) != cell.value:
                changes[f"{cell.queue}.{cell.column}"] = cell.value
        self._draft({"base": base or current["version"], "cells": changes}, why)

    def _active_table(self) -> Document:
        """The answer with the active queue table; the process exits if the request is refused."""
        answer = request(self._front, "GET", "/v1/table")
        if answer.status != 200:
            finish(answer, True, flat)
        document: Document = answer.document
        return document

    def _base(self, base: int | None) -> Any:
        if base is not None:
            return base
        return request(self._front, "GET", "/v1/table").document["version"]

    def _draft(self, document: Document, why: str) -> None:
        self._send_change("POST", "/v1/drafts", document, (("X-Reason", why),), draft_text)

    def drafts(self) -> None:
        """Lists the drafts and their verdicts."""
        self._get("/v1/drafts", drafts_text)

    def draft(self, draft: str) -> None:
        """Shows one draft with its measured results."""
        self._get(f"/v1/drafts/{draft}", draft_text)

    def rehearse(self, draft: str, wait: float = 60) -> None:
        """Measures a draft against recent traffic; waits at most `wait` seconds for the verdict."""
        answer = request(self._front, "POST", f"/v1/drafts/{draft}/rehearse")
        until = time.monotonic() + wait
        while answer.status == 200 and answer.document["state"] == "rehearsing" and time.monotonic() < until:
            curio.run(curio.sleep, REHEARSAL_POLL_INTERVAL)
            answer = request(self._front, "GET", f"/v1/drafts/{draft}")
        finish(answer, self._json, draft_text)

    def approve(self, draft: str, why: str = "") -> None:
        """Activates a draft if its rehearsal showed it to be better."""
        self._send_change("POST", f"/v1/drafts/{draft}/approve", None, (("X-Reason", why),))

    def drop(self, draft: str) -> None:
        """Drops a draft."""
        self._send_change("DELETE", f"/v1/drafts/{draft}")


def _table_text(document: Document) -> str:
    return f"version {document['version']}\n" + table(document["rows"])


def read_cells(file: str) -> list[Cell]:
    """The cells of a CSV file; on faults, exits with WRONG_USE and one line for each fault."""
    cells: list[Cell] = []
    faults: list[str] = []
    try:
        with open(file, newline="") as opened:
            for number, row in enumerate(csv.DictReader(opened), FIRST_ROW):
                if _is_complete(row):
                    cells += _cells_of(row)
                else:
                    faults.append(
                        f"{file}: line {number}: expected a cell for each column, the first named queue"
                    )
    except (OSError, UnicodeDecodeError, csv.Error) as fault:
        faults.append(f"{file}: {fault}")
    if faults:
        leave(ExitCode.WRONG_USE, *faults)
    return cells


def _is_complete(row: dict[Any, Any]) -> bool:
    """Whether a row names its queue and has exactly one cell for each column."""
    return bool(row.get("queue")) and None not in row and None not in row.values()


def _cells_of(row: dict[str, str]) -> Iterator[Cell]:
    for column, text in row.items():
        if column != "queue":
            yield Cell(row["queue"], column, _value(text))


def _value(text: str) -> Any:
    """A cell's value: parsed if it is valid JSON, else the text itself."""
    try:
        return json.loads(text.lower() if text in ("True", "False") else text)
    except ValueError:
        return text

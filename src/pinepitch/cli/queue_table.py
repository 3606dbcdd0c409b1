"""Commands about the queue table and the drafts that change it."""

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

REHEARSAL_ASKED_EVERY = 0.3  # seconds
FIRST_ROW = 2  # line of a CSV file, after the one of its columns


class Cell(NamedTuple):
    """A cell of a CSV file and its value there."""

    queue: str
    column: str
    value: Any


class QueueTableCommands(FrontCommands):
    """show, csv, edit, read, drafts, draft, rehearse, approve, drop."""

    def show(self) -> None:
        """The queue table in force."""
        self._get("/v1/table", _table_text)

    def csv(self) -> None:
        """The table as CSV, to be edited and read back in."""
        rows = self._in_force()["rows"]
        writer = csv.DictWriter(sys.stdout, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)

    def edit(self, *cells: str, base: int | None = None, why: str = "") -> None:
        """Makes a draft of cells, each QUEUE.COLUMN=VALUE, on version `base` (the one in
        force when left out).
        """
        changes = {}
        for cell in cells:
            name, equals, value = str(cell).partition("=")
            if not equals:
                leave(ExitCode.WRONG_USE, f"{cell}: expected QUEUE.COLUMN=VALUE")
            changes[name] = _value(value)
        self._draft({"base": self._base(base), "cells": changes}, why)

    def read(self, file: str, base: int | None = None, why: str = "") -> None:
        """Makes a draft of the cells of a CSV file that differ from the table in force."""
        current = self._in_force()
        before = {row["queue"]: row for row in current["rows"]}
        changes = {}
        for cell in read_cells(file):
            if before.get(cell.queue, {}).get(cell.column) != cell.value:
                changes[f"{cell.queue}.{cell.column}"] = cell.value
        self._draft({"base": base or current["version"], "cells": changes}, why)

    def _in_force(self) -> Document:
        """The answer with the queue table in force; the process ends if it is refused."""
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
        self._do("POST", "/v1/drafts", document, (("X-Reason", why),), draft_text)

    def drafts(self) -> None:
        """The drafts and their verdicts."""
        self._get("/v1/drafts", drafts_text)

    def draft(self, draft: str) -> None:
        """One draft with its measure."""
        self._get(f"/v1/drafts/{draft}", draft_text)

    def rehearse(self, draft: str, wait: float = 60) -> None:
        """Has a draft measured against recent traffic; waits for the verdict, so many seconds at most."""
        answer = request(self._front, "POST", f"/v1/drafts/{draft}/rehearse")
        until = time.monotonic() + wait
        while answer.status == 200 and answer.document["state"] == "rehearsing" and time.monotonic() < until:
            curio.run(curio.sleep, REHEARSAL_ASKED_EVERY)
            answer = request(self._front, "GET", f"/v1/drafts/{draft}")
        finish(answer, self._json, draft_text)

    def approve(self, draft: str, why: str = "") -> None:
        """Puts a draft in force if its rehearsal found it better."""
        self._do("POST", f"/v1/drafts/{draft}/approve", None, (("X-Reason", why),))

    def drop(self, draft: str) -> None:
        """Drops a draft."""
        self._do("DELETE", f"/v1/drafts/{draft}")


def _table_text(document: Document) -> str:
    return f"version {document['version']}\n" + table(document["rows"])


def read_cells(file: str) -> list[Cell]:
    """The cells of a CSV file; WRONG_USE, with a line for each fault, if there is any."""
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
    """Whether a row names its queue and has a cell for each column."""
    return bool(row.get("queue")) and None not in row and None not in row.values()


def _cells_of(row: dict[str, str]) -> Iterator[Cell]:
    for column, text in row.items():
        if column != "queue":
            yield Cell(row["queue"], column, _value(text))


def _value(text: str) -> Any:
    """A cell's value: JSON where it is some, else the text."""
    try:
        return json.loads(text.lower() if text in ("True", "False") else text)
    except ValueError:
        return text

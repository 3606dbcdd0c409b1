"""Commands about queue setups and the table of queues."""

import csv
import difflib
import json
import sys
import time

import curio

from .front_commands import EXIT_USE, FrontCommands, ask, finish, flat, read_file, table


class QueueConfigurationCommands(FrontCommands):
    """show, put, patch, history, diff, back. put and patch skip rehearsal: for emergencies."""

    def diff(self, earlier, later):
        """What differs between two versions."""
        sides = [ask(self._front, "GET", f"/v1/setup/versions/{one}") for one in (earlier, later)]
        for answer in sides:
            if answer.status != 200:
                finish(answer, True, flat)
        lines = [
            json.dumps(answer.document["setup"], indent=2, sort_keys=True).splitlines() for answer in sides
        ]
        print("\n".join(difflib.unified_diff(*lines, f"version {earlier}", f"version {later}", lineterm="")))

    def show(self, version=None):
        """The setup in force, or an earlier version."""
        self._get(
            "/v1/setup" if version is None else f"/v1/setup/versions/{version}",
            lambda document: json.dumps(document, indent=2),
        )

    def put(self, file, base, why=""):
        """Puts the whole setup in a JSON file in force, built on version `base`."""
        self._change("PUT", file, base, why)

    def patch(self, file, base, why=""):
        """Merges the JSON file into the setup, built on version `base`."""
        self._change("PATCH", file, base, why)

    def _change(self, method, file, base, why):
        self._do(method, "/v1/setup", read_file(file), (("If-Match", str(base)), ("X-Reason", why)))

    def history(self):
        """The versions of the setup, by whom and why."""
        self._get("/v1/setup/versions", lambda document: table(document["setups"]))

    def back(self, version, base, why=""):
        """Makes a new version out of an old one."""
        self._do("POST", "/v1/setup/back", {"version": version}, (("If-Match", str(base)), ("X-Reason", why)))


FIGURES = ("wait_median", "wait_99", "dues_missed", "failed", "shed", "room_used", "preemptions")


class QueueTableCommands(FrontCommands):
    """show, csv, edit, read, drafts, draft, rehearse, approve, drop."""

    def show(self):
        """The table of queues in force."""
        self._get("/v1/table", lambda document: f"version {document['version']}\n" + table(document["rows"]))

    def csv(self):
        """The table as CSV, to be edited and read back in."""
        answer = ask(self._front, "GET", "/v1/table")
        if answer.status != 200:
            finish(answer, True, flat)
        writer = csv.DictWriter(sys.stdout, list(answer.document["rows"][0]))
        writer.writeheader()
        writer.writerows(answer.document["rows"])

    def edit(self, *cells, base=None, why=""):
        """Makes a draft of cells, each QUEUE.COLUMN=VALUE, on version `base` (the one in
        force when left out)."""
        changes = {}
        for cell in cells:
            name, equals, value = str(cell).partition("=")
            if not equals:
                print(f"pinepitch: {cell}: expected QUEUE.COLUMN=VALUE", file=sys.stderr)
                sys.exit(EXIT_USE)
            changes[name] = _value(value)
        self._draft({"base": self._base(base), "cells": changes}, why)

    def read(self, file, base=None, why=""):
        """Makes a draft of the cells of a CSV file that differ from the table in force."""
        answer = ask(self._front, "GET", "/v1/table")
        if answer.status != 200:
            finish(answer, True, flat)
        current = answer.document
        before = {row["queue"]: row for row in current["rows"]}
        changes, faults = {}, []
        try:
            with open(file, newline="") as opened:
                for number, row in enumerate(csv.DictReader(opened), 2):
                    if not row.get("queue") or None in row or None in row.values():
                        faults.append(
                            f"{file}: line {number}: expected a cell for each column, the first named queue"
                        )
                        continue
                    for column, text in row.items():
                        if column != "queue" and before.get(row["queue"], {}).get(column) != _value(text):
                            changes[f"{row['queue']}.{column}"] = _value(text)
        except (OSError, UnicodeDecodeError, csv.Error) as fault:
            faults.append(f"{file}: {fault}")
        if faults:
            print("\n".join(f"pinepitch: {one}" for one in faults), file=sys.stderr)
            sys.exit(EXIT_USE)
        self._draft({"base": base or current["version"], "cells": changes}, why)

    def _base(self, base):
        return base if base is not None else ask(self._front, "GET", "/v1/table").document["version"]

    def _draft(self, document, why):
        self._do("POST", "/v1/drafts", document, (("X-Reason", why),), self._show)

    def drafts(self):
        """The drafts and their verdicts."""
        self._get(
            "/v1/drafts",
            lambda document: table(
                [{**one, "verdict": (one["measure"] or {}).get("verdict")} for one in document["drafts"]],
                ["draft", "base", "state", "verdict", "stale", "who", "why"],
            ),
        )

    def draft(self, draft):
        """One draft with its measure."""
        self._get(f"/v1/drafts/{draft}", self._show)

    def rehearse(self, draft, wait=60):
        """Has a draft measured against recent traffic; waits for the verdict."""
        answer = ask(self._front, "POST", f"/v1/drafts/{draft}/rehearse")
        until = time.monotonic() + wait
        while answer.status == 200 and answer.document["state"] == "rehearsing" and time.monotonic() < until:
            curio.run(curio.sleep, 0.3)
            answer = ask(self._front, "GET", f"/v1/drafts/{draft}")
        finish(answer, self._json, self._show)

    def approve(self, draft, why=""):
        """Puts a draft in force if its rehearsal found it better."""
        self._do("POST", f"/v1/drafts/{draft}/approve", None, (("X-Reason", why),))

    def drop(self, draft):
        """Drops a draft."""
        self._do("DELETE", f"/v1/drafts/{draft}")

    @staticmethod
    def _show(document):
        lines = [
            f"draft {document['draft']} on version {document['base']}: {document['state']}"
            + (", stale: another change came first" if document["stale"] else ""),
            table(
                [dict(zip(("cell", "in force", "draft"), cell, strict=False)) for cell in document["cells"]],
                ["cell", "in force", "draft"],
            ),
        ]
        measure = document["measure"]
        if measure:
            shown = []
            for one in measure["queues"]:
                for name in FIGURES:
                    before, after = one[name], one[f"draft_{name}"]
                    if before or after:
                        shown.append(
                            {
                                "queue": one["queue"],
                                "figure": name,
                                "in force": before,
                                "draft": after,
                                "difference": round(after - before, 4),
                            }
                        )
            lines += [
                table(shown, ["queue", "figure", "in force", "draft", "difference"]),
                f"measured on {measure['tickets']} recent tickets: {measure['why']}",
                f"verdict: {measure['verdict']}",
            ]
        return "\n".join(lines)


def _value(text):
    try:
        return json.loads(text.lower() if text in ("True", "False") else text)
    except ValueError:
        return text

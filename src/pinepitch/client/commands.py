"""Each act of the HTTP API as a command. Exit codes: 0 done, 1 refused, 2 wrong use,
3 no verge answered, 4 come back later."""

import csv
import difflib
import json
import os
import sys
import time

import curio
from fire.decorators import SetParseFn

from ..ground import env, http

EXIT_REFUSED, EXIT_USE, EXIT_UNREACHED, EXIT_LATER = 1, 2, 3, 4


def ask(verge, method, target, document=None, headers=()):
    """The answer of a verge, or exit 3."""

    async def one():
        client = http.Client(*env.split(verge))
        try:
            return await curio.ignore_after(10, client.call(method, target, document, headers))
        finally:
            await client.close()

    answer = curio.run(one)
    if not isinstance(answer, http.Response):
        print(f"pinepitch: no answer from {verge}", file=sys.stderr)
        sys.exit(EXIT_UNREACHED)
    return answer


def table(rows, columns=None):
    """Rows of a listing as aligned text."""
    if not rows:
        return "(none)"
    columns = columns or list(rows[0])
    cells = [[str(column) for column in columns]]
    cells += [["" if row.get(column) is None else str(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[place]) for line in cells) for place in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=False)).rstrip()
        for line in cells
    )


def finish(answer, as_json, show):
    """Prints an answer and leaves with the code that fits it."""
    if as_json or not 200 <= answer.status < 300:
        print(json.dumps(answer.document, indent=2), file=sys.stdout if answer.status < 300 else sys.stderr)
    else:
        print(show(answer.document))
    if 200 <= answer.status < 300:
        return
    sys.exit(EXIT_LATER if answer.status in (429, 503) else EXIT_REFUSED)


def flat(document):
    """A document's plain fields, a line each, and its lists as tables."""
    lines = [f"{key}: {value}" for key, value in document.items() if not isinstance(value, list)]
    for key, value in document.items():
        if isinstance(value, list):
            lines.append(f"{key}:")
            lines.append(
                table(value) if value and isinstance(value[0], dict) else "  " + ", ".join(map(str, value))
            )
    return "\n".join(lines)


class Verged:
    """Commands that speak to one verge: --verge IP:PORT or PINEPITCH_VERGE."""

    def __init__(self, verge=None, json=False, operator=None):
        self._verge = verge or os.environ.get("PINEPITCH_VERGE", "127.0.0.1:8080")
        self._json = json
        self._operator = operator or os.environ.get("USER", "unnamed")

    def _get(self, target, show=flat):
        finish(ask(self._verge, "GET", target), self._json, show)

    def _do(self, method, target, document=None, headers=(), show=flat):
        headers = (("X-Operator", self._operator), *headers)
        finish(ask(self._verge, method, target, document, headers), self._json, show)


class Ticket(Verged):
    """submit, show, list, cancel."""

    def submit(self, file, key=None):
        """Hands in the ticket in a JSON file ('-' for standing input)."""
        document = _read(file)
        headers = (("Idempotency-Key", str(key)),) if key else ()
        self._do("POST", "/v1/tickets", document, headers)

    def show(self, ticket):
        """A ticket with the state of each task."""
        self._get(f"/v1/tickets/{ticket}")

    def list(self, after=0, limit=50, state="", queue=""):
        """Tickets, a page at a time, by state or queue."""
        self._get(
            f"/v1/tickets?after={after}&limit={limit}&state={state}&queue={queue}",
            lambda document: table(
                document["tickets"], ["ticket", "state", "queue", "urgency", "tasks", "key"]
            ),
        )

    def cancel(self, ticket):
        """Cancels a ticket: nothing more of it starts."""
        self._do("POST", f"/v1/tickets/{ticket}/cancel")


class Job(Verged):
    """show."""

    @SetParseFn(str, "job")  # 16 hex digits may look like a number
    def show(self, job):
        """A job's state, its waves and its placements."""
        self._get(f"/v1/jobs/{job}", self._show)

    @staticmethod
    def _show(document):
        lines = [
            f"{key}: {value}"
            for key, value in document.items()
            if key not in ("waves", "placements", "more_waves") and value is not None
        ]
        if document["waves"]:
            lines += [
                "waves:",
                table(
                    [{**one, "why": why_of(one)} for one in document["waves"]],
                    ["time", "step", "waiting", "placed", "done", "failures", "why"],
                ),
            ]
        if document["more_waves"]:
            lines.append(f"and {document['more_waves']} more waves")
        if document["placements"]:
            lines += [
                "placements:",
                table(
                    document["placements"],
                    ["task", "run", "minion", "since", "epoch", "running", "percent", "stop"],
                ),
            ]
        return "\n".join(lines)


def why_of(wave):
    """Why some of a wave waits, with how many workers each reason rules out."""
    ruled = ", ".join(f"{count} {why}" for why, count in sorted(wave.get("candidates", {}).items()))
    return wave["why"] + (f" (workers: {ruled})" if ruled else "")


class Configuration(Verged):
    """show."""

    def show(self):
        """The routes and services in force."""
        self._get("/v1/configuration", lambda document: json.dumps(document, indent=2))


WORKER_COLUMNS = [
    "minion",
    "service",
    "zone",
    "rack",
    "state",
    "closed",
    "free",
    "room",
    "placed",
    "running",
    "failing",
    "speed",
    "heard",
]


def _room(room):
    """A room as CPU/MEMORY/ACCELERATORS."""
    return "" if room is None else f"{room['cpu']}/{room['mem_mb']}/{room['gpu']}"


class Minion(Verged):
    """list, drain, undrain, withdraw."""

    def list(self):
        """The minions that report, with their room and state."""
        self._get("/v1/minions", lambda document: table(document["minions"]))

    def drain(self, minion):
        """Gives a minion no new work."""
        self._do("POST", f"/v1/minions/{minion}/drain")

    def undrain(self, minion):
        """Takes a drain back."""
        self._do("POST", f"/v1/minions/{minion}/undrain")

    def withdraw(self, minion, due=0.0):
        """The machine is gone for good at `due` (seconds since 1970; 0 for now)."""
        self._do("POST", f"/v1/minions/{minion}/withdraw", {"due": due})


class Area(Verged):
    """list, empty, take_back."""

    def list(self):
        """The areas and whether they are emptied."""
        self._get("/v1/areas", lambda document: table(document["areas"]))

    def empty(self, area):
        """Gives the minions of an area no new work."""
        self._do("POST", f"/v1/areas/{area}/empty")

    def take_back(self, area):
        """Lets an area have work again."""
        self._do("POST", f"/v1/areas/{area}/take-back")


class Setup(Verged):
    """show, put, patch, history, diff, back. put and patch skip rehearsal: for emergencies."""

    def diff(self, earlier, later):
        """What differs between two versions."""
        sides = [ask(self._verge, "GET", f"/v1/setup/versions/{one}") for one in (earlier, later)]
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
        self._do(method, "/v1/setup", _read(file), (("If-Match", str(base)), ("X-Reason", why)))

    def history(self):
        """The versions of the setup, by whom and why."""
        self._get("/v1/setup/versions", lambda document: table(document["setups"]))

    def back(self, version, base, why=""):
        """Makes a new version out of an old one."""
        self._do("POST", "/v1/setup/back", {"version": version}, (("If-Match", str(base)), ("X-Reason", why)))


FIGURES = ("wait_median", "wait_99", "dues_missed", "failed", "shed", "room_used", "preemptions")


class Table(Verged):
    """show, csv, edit, read, drafts, draft, rehearse, approve, drop."""

    def show(self):
        """The table of queues in force."""
        self._get("/v1/table", lambda document: f"version {document['version']}\n" + table(document["rows"]))

    def csv(self):
        """The table as CSV, to be edited and read back in."""
        answer = ask(self._verge, "GET", "/v1/table")
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
        answer = ask(self._verge, "GET", "/v1/table")
        if answer.status != 200:
            finish(answer, True, flat)
        held = answer.document
        before = {row["queue"]: row for row in held["rows"]}
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
        self._draft({"base": base or held["version"], "cells": changes}, why)

    def _base(self, base):
        return base if base is not None else ask(self._verge, "GET", "/v1/table").document["version"]

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
        answer = ask(self._verge, "POST", f"/v1/drafts/{draft}/rehearse")
        until = time.monotonic() + wait
        while answer.status == 200 and answer.document["state"] == "rehearsing" and time.monotonic() < until:
            curio.run(curio.sleep, 0.3)
            answer = ask(self._verge, "GET", f"/v1/drafts/{draft}")
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


class Commands:
    """pinepitch: drive the scheduler. Global flags of each group: --verge, --json, --operator."""

    def __init__(self):
        self.ticket = Ticket
        self.minion = Minion
        self.area = Area
        self.setup = Setup
        self.table = Table
        self.job = Job
        self.configuration = Configuration

    def workers(self, verge=None, json=False):
        """The workers that run jobs under holds, as the leader knows them."""
        Verged(verge, json)._get(
            "/v1/workers",
            lambda document: table(
                [
                    {**one, "free": _room(one["free"]), "room": _room(one["room"])}
                    for one in document["workers"]
                ],
                WORKER_COLUMNS,
            ),
        )

    def evacuations(self, verge=None, json=False):
        """The zones whose workers get no new work."""
        Verged(verge, json)._get("/v1/evacuations", lambda document: table(document["evacuations"]))

    def pending(self, verge=None, json=False):
        """Waiting tasks, credits and limits of every queue."""
        Verged(verge, json)._get("/v1/pending", lambda document: table(document["queues"]))

    def cohort(self, verge=None, json=False):
        """The accords, their leader and every session."""
        Verged(verge, json)._get("/v1/cohort")

    def figures(self, verge=None, json=False):
        """Counts of the record."""
        Verged(verge, json)._get("/v1/figures")

    def holds(self, verge=None, json=False):
        """The alerts that hold approvals back now."""
        Verged(verge, json)._get("/v1/holds", lambda document: table(document["holds"]))

    def health(self, verge=None, json=False):
        """What one verge knows of itself."""
        Verged(verge, json)._get("/v1/health")

    def timeline(self, *logs, window=2.0):
        """Tells from control daemons' logs at level debug where the time of jobs went, stage by stage."""
        from .timeline import report

        lines = []
        for log in logs:
            try:
                with open(log) as file:
                    lines.extend(file)
            except (OSError, UnicodeDecodeError) as fault:
                print(f"pinepitch: {log}: {fault}", file=sys.stderr)
                sys.exit(EXIT_USE)
        print(report(lines, window))

    def fleet(self, plan="nkansah", seconds=20, rate=1.0, seed=0, folder=None, level="warning", disturb=""):
        """Runs a whole deployment on this machine, checks its histories."""
        from ..proof.fleet import fleet

        fleet(plan, seconds, rate, seed, folder, level, disturb)

    def scale(self, sweep="workers", seconds=8, seed=0, most=None, out=None):
        """Runs real daemons beside hollow workers at rising sizes; prints what each spends."""
        from ..proof.scale.sweep import scale

        scale(sweep, seconds, seed, most, out)

    def traffic(self, verge=None, seconds=30, rate=1.0):
        """Sends stand-in tickets to the queue `default`, for a try."""
        from ..proof.fleet import traffic

        traffic(verge or os.environ.get("PINEPITCH_VERGE", "127.0.0.1:8080"), seconds, rate)

    def disturbances(self, plans="nkansah,pinturas", only="", seconds=12):
        """Runs fleets of processes under every disturbance in turn; prints a table."""
        from ..proof.fleet import disturbances

        disturbances(plans, only, seconds)

    def trials(self, weather="all", seeds=20, first=0, fleet="all", mode="static", plant=""):
        """Runs simulated fleets under failures, over many seeds; prints how to replay a fault."""
        from ..proof.trial import trials

        trials(weather, seeds, first, fleet, mode, plant)

    def explore(self, model="all", states=0, walks=1_000, fault=""):
        """Searches every schedule of small fleets of consensus, at length; prints what breaks and how."""
        from ..proof.model.search import explore

        explore(model, states, walks, fault)

    def forecasts(self, seconds=20):
        """Compares rehearsals' forecasts with what fleets of processes then do."""
        from ..proof.fleet import forecasts

        forecasts(seconds)

    def rates(self, idle=200, known=25):
        """Measures how often rehearsals err, over idle drafts and drafts with a known effect."""
        from ..proof.rates import rates

        rates(idle, known)

    def proof(self, page="docs/proof.md"):
        """Writes the tables of promises, failures, weathers and plants into a page."""
        from ..proof.promises import written

        with open(page) as file:
            text = file.read()
        with open(page, "w") as file:
            file.write(written(text))


def _read(file):
    try:
        if file == "-":
            return json.load(sys.stdin)
        with open(file) as opened:
            return json.load(opened)
    except (OSError, ValueError) as fault:
        print(f"pinepitch: {file}: {fault}", file=sys.stderr)
        sys.exit(EXIT_USE)

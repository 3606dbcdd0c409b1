"""What the commands share: one call to a front daemon, its answer as text, and the exit codes: 0 done,
1 refused, 2 wrong use, 3 no verge answered, 4 come back later."""

import json
import os
import sys

import curio

from ..common import daemon_settings
from ..transport import http

EXIT_REFUSED, EXIT_USE, EXIT_UNREACHED, EXIT_LATER = 1, 2, 3, 4


def ask(verge, method, target, document=None, headers=()):
    """The answer of a verge, or exit 3."""

    async def one():
        client = http.Client(*daemon_settings.split(verge))
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


class FrontCommands:
    """Commands that speak to one verge: --verge IP:PORT or PINEPITCH_VERGE."""

    def __init__(self, verge=None, json=False, operator=None):
        self._front = verge or os.environ.get("PINEPITCH_VERGE", "127.0.0.1:8080")
        self._json = json
        self._operator = operator or os.environ.get("USER", "unnamed")

    def _get(self, target, show=flat):
        finish(ask(self._front, "GET", target), self._json, show)

    def _do(self, method, target, document=None, headers=(), show=flat):
        headers = (("X-Operator", self._operator), *headers)
        finish(ask(self._front, method, target, document, headers), self._json, show)


def read_file(file):
    """The JSON document in a file ('-' for standing input), or exit 2."""
    try:
        if file == "-":
            return json.load(sys.stdin)
        with open(file) as opened:
            return json.load(opened)
    except (OSError, ValueError) as fault:
        print(f"pinepitch: {file}: {fault}", file=sys.stderr)
        sys.exit(EXIT_USE)

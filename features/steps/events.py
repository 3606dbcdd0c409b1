"""Steps for Events: the catalogue against the page and the code."""

import errno
import glob
import os
import re

from behave import then

from pinepitch.common import events

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")


@then("docs/events.md has one row for each event, with its level and text")
def step_page(context):
    with open(os.path.join(ROOT, "docs", "events.md")) as file:
        table_rows = re.findall(r"^\| (\d+) \| (\w+) \| ([^|]+?) \| [^|]+ \|$", file.read(), re.M)
    assert [int(number) for number, _, _ in table_rows] == sorted(events.CATALOGUE), table_rows
    for number, level, text in table_rows:
        assert events.CATALOGUE[int(number)] == (text, level), (number, level, text)


@then("each event of the catalogue is told in the code")
def step_notified(context):
    reported = set()
    for path in glob.glob(os.path.join(ROOT, "src", "pinepitch", "**", "*.py"), recursive=True):
        with open(path) as file:
            for call in re.findall(r"(?:_event|emit|trace)\(([^\n]*)", file.read()):
                reported.update(map(int, re.findall(r"\b1\d\d\b", call)))
                reported.update(getattr(events, name) for name in re.findall(r"\bevents\.([A-Z_]+)", call))
    assert not set(events.CATALOGUE) - reported, set(events.CATALOGUE) - reported


class FullLog:
    """A log on a full disk."""

    def __getattr__(self, level):
        raise OSError(errno.ENOSPC, "no space")


@then("telling an event to a log on a full disk returns")
def step_full(context):
    assert events.emit(FullLog(), 106, why="no space") is None

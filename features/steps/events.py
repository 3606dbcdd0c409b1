"""Steps for Events: the catalogue against the page and the code."""

import ast
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


TELLING = {"event", "_event", "emit", "trace"}  # functions that are called to tell an event


def _numbers_told(source):
    """The numbers of the events that the calls in a module's source log."""
    for call in ast.walk(ast.parse(source)):
        if not isinstance(call, ast.Call):
            continue
        if getattr(call.func, "attr", getattr(call.func, "id", "")) not in TELLING:
            continue
        for node in (part for argument in call.args for part in ast.walk(argument)):
            if isinstance(node, ast.Constant) and isinstance(node.value, int) and 100 <= node.value < 200:
                yield node.value
            elif isinstance(node, ast.Attribute) and ast.unparse(node.value) == "events":
                yield getattr(events, node.attr)


@then("each event of the catalogue is told in the code")
def step_notified(context):
    reported = set()
    for path in glob.glob(os.path.join(ROOT, "src", "pinepitch", "**", "*.py"), recursive=True):
        with open(path) as file:
            reported.update(_numbers_told(file.read()))
    assert not set(events.CATALOGUE) - reported, set(events.CATALOGUE) - reported


class FullLog:
    """A log on a full disk."""

    def __getattr__(self, level):
        raise OSError(errno.ENOSPC, "no space")


@then("telling an event to a log on a full disk returns")
def step_full(context):
    assert events.emit(FullLog(), 106, why="no space") is None

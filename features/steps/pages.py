"""Steps for Pages: the project's Markdown beside the tree, the command line, the events and the metrics."""

import json
import pathlib
import re

from behave import then, when

from pinepitch.cli.overview import commands
from pinepitch.common import events

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACES = (ROOT, ROOT / "src" / "pinepitch", ROOT / "features")  # where a page's path may begin
# The history of earlier versions, the other projects that are models, and lists of earlier names.
HISTORICAL = {"CHANGELOG.md", "docs/test-names.md", "docs/glossary.md", "docs/decisions.md", "DEVELOPERS.md"}
PATH = re.compile(r"`((?:[a-z_]+/)+(?:[\w.-]+\.(?:py|feature|md|toml))?)`")
LINK = re.compile(r"\]\(([^)#]+?)(?:#[^)]*)?\)")
COMMAND = re.compile(r"`pinepitch ([a-z-]+(?: [a-z-]+)?)[^`]*`")
METRIC = re.compile(r"`pinepitch_([a-z_]+)[^`]*`")


def pages():
    """Path relative to the root -> text of every page."""
    found = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    return {str(path.relative_to(ROOT)): path.read_text(encoding="utf-8") for path in sorted(found)}


def missing_paths(texts):
    """(page, path) of every path that leads nowhere."""
    return [
        (page, path)
        for page, text in texts.items()
        if page not in HISTORICAL
        for path in PATH.findall(text)
        if not any((place / path).exists() for place in PLACES)
    ]


@when("all pages are read")
def step_read(context):
    context.pages = pages()
    assert len(context.pages) > 30, sorted(context.pages)


@when("a page that names a missing file is read")
def step_read_wrong(context):
    context.pages = {"docs/a.md": "see `scheduling/nothing.py` and `scheduling/assigner.py`"}


@then("every path in them leads to a file or folder")
def step_paths(context):
    missing = missing_paths(context.pages)
    assert not missing, "\n".join(map(str, missing))


@then("that path is told as missing")
def step_told(context):
    assert missing_paths(context.pages) == [("docs/a.md", "scheduling/nothing.py")]


@then("every link in them leads to a file")
def step_links(context):
    missing = [
        (page, target)
        for page, text in context.pages.items()
        for target in LINK.findall(text)
        if "://" not in target and not (ROOT / page).parent.joinpath(target).exists()
    ]
    assert not missing, "\n".join(map(str, missing))


@then("each command that ARCHITECTURE.md names is listed by the command line")
def step_commands(context):
    listed = {one.name for one in commands()}
    named = set(COMMAND.findall(context.pages["docs/ARCHITECTURE.md"]))
    unknown = [name for name in named if name not in listed and name.split()[0] not in listed]
    assert len(named) > 5 and not unknown, (unknown, sorted(listed))


@then("each event number that its last section names is in the catalogue")
def step_events(context):
    section = context.pages["docs/ARCHITECTURE.md"].rpartition("\n## ")[2]
    numbers = {int(number) for number in re.findall(r"\b1\d\d\b", section)}
    assert len(numbers) > 10 and numbers <= set(events.CATALOGUE), numbers - set(events.CATALOGUE)


@then("each metric that it names is among those that the daemons show")
def step_metrics(context):
    golden = json.loads((ROOT / "features" / "data" / "golden" / "answers.json").read_text())
    shown = set(re.findall(r"pinepitch_([a-z_]+)", json.dumps(golden)))
    named = set(METRIC.findall(context.pages["docs/ARCHITECTURE.md"]))
    assert len(named) > 5 and named <= shown, named - shown

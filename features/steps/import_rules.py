"""Steps for the import rules of docs/design/layout.md, read from the syntax of the source."""

import ast
import pathlib
from typing import NamedTuple

from behave import then, when

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = ROOT / "src" / "pinepitch"

# Package -> the packages it may import beside itself, as in docs/design/layout.md.
ALLOWED = {
    "common": set(),
    "model": {"common"},
    "consensus": {"common"},
    "storage": {"common"},
    "transport": {"common"},
    "scheduling": {"common", "model"},
    "state": {"common", "model", "scheduling"},
    "runtime": {"common", "model", "transport", "storage"},
    "control": {
        "common",
        "model",
        "consensus",
        "scheduling",
        "state",
        "storage",
        "transport",
        "runtime",
    },
    "front": {"common", "model", "transport", "consensus", "runtime"},
    "cli": {"common", "transport", "simulation", "control", "front"},
    "simulation": {
        "common",
        "model",
        "consensus",
        "scheduling",
        "state",
        "storage",
        "transport",
        "runtime",
        "control",
        "front",
    },
    "proof": {"simulation"},
}
# Modules through which alone a package is imported by another.
ONLY_BY = {
    ("control", "runtime"): {"program"},
    ("front", "runtime"): {"program"},
    ("cli", "control"): {"program"},
    ("cli", "front"): {"program"},
}
ONLY_OF = {("front", "consensus"): {"leader_clock"}}


class Import(NamedTuple):
    """One import of a module of ours: the importing module and the imported one, without `pinepitch.`"""

    importer: str
    imported: str

    @property
    def packages(self):
        """The two packages, importer first."""
        return self.importer.split(".")[0], self.imported.split(".")[0]


def imports_of(module, text, is_package):
    """Every Import of a module's text; names that are modules themselves count as such."""
    found = []
    package = module.split(".") if is_package else module.split(".")[:-1]
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.ImportFrom):
            if node.level:
                base = package[: len(package) - node.level + 1]
            elif (node.module or "").split(".")[0] == "pinepitch":
                base = []
            else:
                continue
            parts = (node.module or "").split(".") if node.module else []
            if not node.level:
                parts = parts[1:]
            for alias in node.names:
                found.append(Import(module, ".".join([*base, *parts, alias.name])))
        elif isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.split(".")[0] == "pinepitch":
                    found.append(Import(module, alias.name.partition(".")[2]))
    return found


def refused(one):
    """Why an Import is against the layout, or None."""
    importer, imported = one.packages
    if importer == imported or imported == "" or imported not in ALLOWED:
        return None
    if imported not in ALLOWED[importer]:
        return f"{one.importer} imports {one.imported}: {importer} may not import {imported}"
    only = ONLY_OF.get((importer, imported))
    if only is not None and one.imported.split(".")[1] not in only:
        return f"{one.importer} imports {one.imported}: of {imported} only {sorted(only)}"
    return None


@when("the imports of every module under src/pinepitch are read")
def step_read(context):
    context.imports = []
    for path in sorted(SOURCE.rglob("*.py")):
        parts = path.relative_to(SOURCE).with_suffix("").parts
        is_package = parts[-1] == "__init__"
        module = ".".join(parts[:-1] if is_package else parts)
        if module:
            context.imports += imports_of(module, path.read_text(encoding="utf-8"), is_package)
    assert len(context.imports) > 300, len(context.imports)


@when("a module of consensus that imports scheduling is read")
def step_read_wrong(context):
    text = "from ..common import constants\nfrom ..scheduling.assigner import Assigner\n"
    context.imports = imports_of("consensus.log", text, is_package=False)


@then("each is allowed by docs/design/layout.md")
def step_allowed(context):
    faults = [fault for fault in map(refused, context.imports) if fault]
    assert not faults, "\n".join(faults)
    page = (ROOT / "docs" / "design" / "layout.md").read_text(encoding="utf-8")
    assert all(f"`{package}`" in page for package in ALLOWED if package != "proof")


@then("the import is named as not allowed")
def step_refused(context):
    faults = [fault for fault in map(refused, context.imports) if fault]
    assert faults == [
        "consensus.log imports scheduling.assigner.Assigner: consensus may not import scheduling"
    ], faults


@then("of control and front only the programs import runtime")
def step_programs(context):
    for one in context.imports:
        only = ONLY_BY.get(one.packages)
        if only is not None and one.packages[0] in ("control", "front"):
            assert one.importer.split(".")[1] in only, one


@then("none names a module of platform/")
def step_platform(context):
    names = {path.stem for path in (ROOT / "platform").glob("*.py")} - {"core", "front"}
    wrong = [one for one in context.imports if one.imported.split(".")[0] in names]
    assert names and not wrong, wrong

"""Alert rules in the Prometheus manner, as inputs to control.

A file of groups of rules, as Prometheus reads it; of expressions only a comparison of one
metric, perhaps with labels, with a number. A firing rule labelled `hold: approvals` holds
approvals back until it clears; it never holds an emergency change.
"""

import operator
import re
from typing import NamedTuple

import voluptuous
import yaml
from prometheus_client.parser import text_string_to_metric_families

from ..world.ticket import name, shaped

COMPARISONS = {
    ">": operator.gt,
    "<": operator.lt,
    ">=": operator.ge,
    "<=": operator.le,
    "==": operator.eq,
    "!=": operator.ne,
}
EXPRESSION = re.compile(
    r"^\s*([a-zA-Z_:][a-zA-Z0-9_:]*)\s*(?:\{([^{}]*)\})?\s*(>=|<=|==|!=|>|<)\s*(-?[0-9.]+(?:e-?\d+)?)\s*$"
)
LABEL = re.compile(r'^\s*([a-zA-Z_][a-zA-Z0-9_]*)\s*=\s*"([^"\\]*)"\s*$')
DURATION = re.compile(r"^(\d+)(ms|s|m|h)$")
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


class Rule(NamedTuple):
    """Invariants: alert is unique in its file; holds is "approvals" or ''."""

    alert: str
    metric: str
    labels: tuple
    comparison: str
    bound: float
    lasting: float
    holds: str
    summary: str


def _expression(text):
    found = EXPRESSION.match(text) if isinstance(text, str) else None
    if not found:
        raise voluptuous.Invalid(
            'expected METRIC or METRIC{label="value"}, a comparison and a number; nothing else is read'
        )
    labels = []
    for one in (found[2] or "").split(","):
        if one.strip():
            label = LABEL.match(one)
            if not label:
                raise voluptuous.Invalid('expected labels as label="value"')
            labels.append((label[1], label[2]))
    try:
        bound = float(found[4])
    except ValueError:
        raise voluptuous.Invalid(f"{found[4]} is no number") from None
    return (found[1], tuple(labels), found[3], bound)


def _duration(text):
    found = DURATION.match(text) if isinstance(text, str) else None
    if not found:
        raise voluptuous.Invalid("expected a duration like 30s, 5m or 1h")
    return int(found[1]) * UNITS[found[2]]


TEXTS = {str: str}
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("groups"): [
            {
                voluptuous.Required("name"): name,
                voluptuous.Optional("interval"): _duration,
                voluptuous.Required("rules"): [
                    {
                        voluptuous.Required("alert"): name,
                        voluptuous.Required("expr"): _expression,
                        voluptuous.Optional("for", default="0s"): _duration,
                        voluptuous.Optional("labels", default=dict): {
                            voluptuous.Optional("hold"): voluptuous.In(("approvals",)),
                            **TEXTS,
                        },
                        voluptuous.Optional("annotations", default=dict): TEXTS,
                    }
                ],
            }
        ]
    }
)


def read(text):
    """(rules, ()) or (None, faults), each named by its place."""
    try:
        document = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as fault:
        return None, (("", " ".join(str(fault).split())[:200]),)
    plain, faults = shaped(SHAPE, document)
    if faults:
        return None, faults
    rules, faults = [], []
    for place, group in enumerate(plain["groups"]):
        for position, one in enumerate(group["rules"]):
            if any(rule.alert == one["alert"] for rule in rules):
                faults.append((f"groups.{place}.rules.{position}.alert", f"{one['alert']!r} is named twice"))
            rules.append(
                Rule(
                    one["alert"],
                    *one["expr"],
                    one["for"],
                    one["labels"].get("hold", ""),
                    one["annotations"].get("summary", ""),
                )
            )
    return (None, tuple(faults)) if faults else (tuple(rules), ())


class Watch:
    """What the holder of the duty knows of the rules. Invariant: since holds the rules whose
    expression holds now, and from when on."""

    def __init__(self, rules):
        self.rules = rules
        self.since = {}

    def firing(self, metrics, now):
        """alert -> why, for the rules that fire by these metrics."""
        series = {}
        for family in text_string_to_metric_families(metrics):
            for sample in family.samples:
                series.setdefault(sample.name, []).append((sample.labels, sample.value))
        fires = {}
        for rule in self.rules:
            hits = [
                value
                for labels, value in series.get(rule.metric, ())
                if all(labels.get(label) == wanted for label, wanted in rule.labels)
                and COMPARISONS[rule.comparison](value, rule.bound)
            ]
            if not hits:
                self.since.pop(rule.alert, None)
            elif now - self.since.setdefault(rule.alert, now) >= rule.lasting:
                fires[rule.alert] = f"{rule.metric} is {hits[0]:g}, {rule.comparison} {rule.bound:g}" + (
                    f": {rule.summary}" if rule.summary else ""
                )
        return fires

"""The file of alert rules, as Prometheus reads it; of expressions only a comparison of one
metric, perhaps with labels, with a number. Loaded only by a daemon that is given such a file.
"""

import re

import voluptuous
import yaml

from ..model.pushed_job import name, shaped
from .alert_watch import Rule

EXPRESSION = re.compile(
    r"^\s*([a-zA-Z_:][a-zA-Z0-9_:]*)\s*(?:\{([^{}]*)\})?\s*(>=|<=|==|!=|>|<)\s*(-?[0-9.]+(?:e-?\d+)?)\s*$"
)
LABEL = re.compile(r'^\s*([a-zA-Z_][a-zA-Z0-9_]*)\s*=\s*"([^"\\]*)"\s*$')
DURATION = re.compile(r"^(\d+)(ms|s|m|h)$")
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


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

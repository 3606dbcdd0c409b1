"""The file of alert rules, as Prometheus reads it; of expressions only a comparison of one
metric, perhaps with labels, with a number. Loaded only by a daemon that is given such a file.
"""

import re
from typing import Any

import voluptuous
import yaml

from ..model.validation import name, shaped
from .alert_watch import Rule

EXPRESSION = re.compile(
    r"^\s*([a-zA-Z_:][a-zA-Z0-9_:]*)\s*(?:\{([^{}]*)\})?\s*(>=|<=|==|!=|>|<)\s*(-?[0-9.]+(?:e-?\d+)?)\s*$"
)
LABEL = re.compile(r'^\s*([a-zA-Z_][a-zA-Z0-9_]*)\s*=\s*"([^"\\]*)"\s*$')
DURATION = re.compile(r"^(\d+)(ms|s|m|h)$")
Expression = tuple[str, tuple[tuple[str, str], ...], str, float]  # (metric, labels, comparison, bound)
Faults = tuple[tuple[str, str], ...]  # ((place, message), ...)

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


def _expression(text: Any) -> Expression:
    """An expression in parts, or Invalid."""
    found = EXPRESSION.match(text) if isinstance(text, str) else None
    if not found:
        raise voluptuous.Invalid(
            'expected METRIC or METRIC{label="value"}, a comparison and a number; nothing else is read'
        )
    labels = tuple(_label(one) for one in (found[2] or "").split(",") if one.strip())
    try:
        bound = float(found[4])
    except ValueError:
        raise voluptuous.Invalid(f"{found[4]} is no number") from None
    return (found[1], labels, found[3], bound)


def _label(text: str) -> tuple[str, str]:
    found = LABEL.match(text)
    if not found:
        raise voluptuous.Invalid('expected labels as label="value"')
    return (found[1], found[2])


def _duration(text: Any) -> float:
    """Seconds, or Invalid."""
    found = DURATION.match(text) if isinstance(text, str) else None
    if not found:
        raise voluptuous.Invalid("expected a duration like 30s, 5m or 1h")
    return int(found[1]) * UNITS[found[2]]


TEXTS: dict[Any, Any] = {str: str}
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


def read(text: str) -> tuple[tuple[Rule, ...] | None, Faults]:
    """(rules, ()) or (None, faults), each named by its place."""
    try:
        document = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as fault:
        return None, (("", " ".join(str(fault).split())[:200]),)
    plain, faults = shaped(SHAPE, document)
    if faults:
        return None, faults
    found = [
        (f"groups.{place}.rules.{position}.alert", _rule(one))
        for place, group in enumerate(plain["groups"])
        for position, one in enumerate(group["rules"])
    ]
    faults = _named_twice(found)
    return (None, faults) if faults else (tuple(rule for _, rule in found), ())


def _rule(checked: dict[str, Any]) -> Rule:
    """A rule of a checked document."""
    metric, labels, comparison, bound = checked["expr"]
    return Rule(
        alert=checked["alert"],
        metric=metric,
        labels=labels,
        comparison=comparison,
        bound=bound,
        lasting=checked["for"],
        pauses=checked["labels"].get("hold", ""),
        summary=checked["annotations"].get("summary", ""),
    )


def _named_twice(found: list[tuple[str, Rule]]) -> Faults:
    """A fault for each rule whose alert an earlier one has."""
    seen: set[str] = set()
    faults = []
    for place, rule in found:
        if rule.alert in seen:
            faults.append((place, f"{rule.alert!r} is named twice"))
        seen.add(rule.alert)
    return tuple(faults)

"""Reads files of alert rules in the format of Prometheus. The only expressions are comparisons of one metric,
perhaps with labels, with a number. Imported only by a daemon that is given such a file.
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
Faults = tuple[tuple[str, str], ...]  # ((location, message), ...)

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


def _expression(text: Any) -> Expression:
    """The parts of an expression; raises Invalid."""
    match = EXPRESSION.match(text) if isinstance(text, str) else None
    if not match:
        raise voluptuous.Invalid(
            'expected METRIC or METRIC{label="value"}, a comparison and a number; nothing else is read'
        )
    labels = tuple(_label(label) for label in (match[2] or "").split(",") if label.strip())
    try:
        bound = float(match[4])
    except ValueError:
        raise voluptuous.Invalid(f"{match[4]} is no number") from None
    return (match[1], labels, match[3], bound)


def _label(text: str) -> tuple[str, str]:
    match = LABEL.match(text)
    if not match:
        raise voluptuous.Invalid('expected labels as label="value"')
    return (match[1], match[2])


def _duration(text: Any) -> float:
    """Seconds of a duration; raises Invalid."""
    match = DURATION.match(text) if isinstance(text, str) else None
    if not match:
        raise voluptuous.Invalid("expected a duration like 30s, 5m or 1h")
    return int(match[1]) * UNITS[match[2]]


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
    """(rules, ()) or (None, faults), each fault with its location."""
    try:
        document = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as fault:
        return None, (("", " ".join(str(fault).split())[:200]),)
    plain, faults = shaped(SHAPE, document)
    if faults:
        return None, faults
    located_rules = [
        (f"groups.{group_number}.rules.{rule_number}.alert", _rule(checked_rule))
        for group_number, group in enumerate(plain["groups"])
        for rule_number, checked_rule in enumerate(group["rules"])
    ]
    faults = _duplicate_alerts(located_rules)
    return (None, faults) if faults else (tuple(rule for _, rule in located_rules), ())


def _rule(checked: dict[str, Any]) -> Rule:
    """A rule of a validated document."""
    metric, labels, comparison, bound = checked["expr"]
    return Rule(
        alert=checked["alert"],
        metric=metric,
        labels=labels,
        comparison=comparison,
        bound=bound,
        min_seconds=checked["for"],
        pauses=checked["labels"].get("hold", ""),
        summary=checked["annotations"].get("summary", ""),
    )


def _duplicate_alerts(located_rules: list[tuple[str, Rule]]) -> Faults:
    """A fault for each rule whose alert an earlier rule has."""
    alerts: set[str] = set()
    faults = []
    for location, rule in located_rules:
        if rule.alert in alerts:
            faults.append((location, f"{rule.alert!r} is named twice"))
        alerts.add(rule.alert)
    return tuple(faults)

"""Alert rules in the Prometheus manner, as inputs to control; rulefile.py reads them.

A firing rule labelled `hold: approvals` holds approvals back until it clears; it never holds
an emergency change.
"""

import operator
from typing import NamedTuple

COMPARISONS = {
    ">": operator.gt,
    "<": operator.lt,
    ">=": operator.ge,
    "<=": operator.le,
    "==": operator.eq,
    "!=": operator.ne,
}


class Rule(NamedTuple):
    """Invariants: alert is unique in its file; holds is "approvals" or ''."""

    alert: str
    metric: str
    labels: tuple
    comparison: str
    bound: float
    lasting: float
    pauses: str
    summary: str


class Watch:
    """What the holder of the duty knows of the rules. Invariant: since holds the rules whose
    expression holds now, and from when on."""

    def __init__(self, rules):
        self.rules = rules
        self.since = {}

    def firing(self, metrics, now):
        """alert -> why, for the rules that fire by these metrics."""
        # loaded by its first use: a daemon without rules starts sooner
        from prometheus_client.parser import text_string_to_metric_families

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

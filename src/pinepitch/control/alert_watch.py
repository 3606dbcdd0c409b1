"""Alert rules in the style of Prometheus, evaluated by the leader; `alert_rules.py` reads them from a file.

A firing rule labelled `hold: approvals` pauses approvals until it clears. It never blocks an emergency
change.
"""

from __future__ import annotations

import operator
from collections.abc import Sequence
from typing import NamedTuple

COMPARISONS = {
    ">": operator.gt,
    "<": operator.lt,
    ">=": operator.ge,
    "<=": operator.le,
    "==": operator.eq,
    "!=": operator.ne,
}

Series = dict[str, list[tuple[dict[str, str], float]]]  # metric -> (labels, value) of each sample


class Rule(NamedTuple):
    """One alert. Invariants: `alert` is unique in its file; `pauses` is "approvals" or ""."""

    alert: str
    metric: str
    labels: tuple[tuple[str, str], ...]  # required of a sample
    comparison: str  # one of COMPARISONS
    bound: float
    min_seconds: float  # seconds for which the comparison must be true
    pauses: str
    summary: str

    def hits(self, series: Series) -> list[float]:
        """The values for which the comparison is true."""
        compare = COMPARISONS[self.comparison]
        return [
            value
            for labels, value in series.get(self.metric, ())
            if all(labels.get(label) == wanted for label, wanted in self.labels)
            and compare(value, self.bound)
        ]

    def why(self, value: float) -> str:
        """The reason shown while the alert fires on a value."""
        summary = f": {self.summary}" if self.summary else ""
        return f"{self.metric} is {value:g}, {self.comparison} {self.bound:g}" + summary


class AlertWatch:
    """Evaluates the rules over time. Invariant: `since` contains the alerts of the rules whose comparison is
    true now, and since when, in seconds of this daemon's clock.
    """

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.rules = rules
        self.since: dict[str, float] = {}

    def firing(self, metrics: str, now: float) -> dict[str, str]:
        """Alert -> reason of the rules that fire by these metrics, which are in the text format of
        Prometheus.
        """
        series = _parse(metrics)
        fires = {}
        for rule in self.rules:
            hits = rule.hits(series)
            if not hits:
                self.since.pop(rule.alert, None)
            elif now - self.since.setdefault(rule.alert, now) >= rule.min_seconds:
                fires[rule.alert] = rule.why(hits[0])
        return fires


def _parse(metrics: str) -> Series:
    # imported on first use, so that a daemon without rules starts sooner
    from prometheus_client.parser import text_string_to_metric_families

    series: Series = {}
    for family in text_string_to_metric_families(metrics):
        for sample in family.samples:
            series.setdefault(sample.name, []).append((sample.labels, sample.value))
    return series

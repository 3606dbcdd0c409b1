"""Metrics as text in Prometheus' exposition format, written by its client library."""

from collections.abc import Iterable, Mapping
from typing import Any

from . import constants, events


class Histogram:
    """The distribution of a measured value over BUCKETS (seconds). Invariants: counts has one more
    element than the bounds; total is the sum of what was added.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(constants.BUCKETS) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Counts one measured value, in seconds."""
        place = next((one for one, bound in enumerate(constants.BUCKETS) if value <= bound), -1)
        self.counts[place] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, int]]:
        """(upper bound, how many values are at most that), cumulative as the library takes them."""
        cumulative, count = [], 0
        for bound, one in zip((*constants.BUCKETS, "+Inf"), self.counts, strict=False):
            count += one
            cumulative.append((str(bound), count))
        return cumulative


class _FamilyCollector:
    """What the library's registry collects the families from."""

    def __init__(self, families: list[Any]) -> None:
        self.families = families

    def collect(self) -> list[Any]:
        return self.families


# A metric: (kind, name without prefix, help, label names, [(label values, value)]).
Metric = tuple[str, str, str, tuple[str, ...], list[tuple[Any, Any]]]


def text(figures: Iterable[Metric]) -> str:
    """Metrics as text, in the order given."""
    # loaded by its first use, as it takes longer than a third of all else that a daemon needs to start
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

    kinds = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily, "histogram": HistogramMetricFamily}
    families = []
    for kind, name, help_text, labels, values in figures:
        family = kinds[kind](f"pinepitch_{name}", help_text, labels=labels)
        for label_values, value in values:
            label_values = [str(one) for one in label_values]
            if kind == "histogram":
                family.add_metric(label_values, value.buckets(), value.total)
            else:
                family.add_metric(label_values, value)
        families.append(family)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_FamilyCollector(families))
    return generate_latest(registry).decode()


def event_metric(counts: Mapping[int, int]) -> Metric:
    """The metric of how often each numbered event was emitted, the same for every kind of daemon."""
    return (
        "counter",
        "events",
        "Numbered events told; docs/events.md lists them.",
        ("number", "event"),
        [((number, events.CATALOGUE[number][0]), count) for number, count in sorted(counts.items())],
    )

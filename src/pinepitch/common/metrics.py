"""Metrics as text in the Prometheus exposition format, written by its client library."""

from collections.abc import Iterable, Mapping
from typing import Any

from . import constants, events


class Histogram:
    """The distribution of a measured value over BUCKETS (seconds). Invariants: counts has one more
    element than the bounds; total is the sum of the added values.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(constants.BUCKETS) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Counts one measured value, in seconds."""
        bucket = next((index for index, bound in enumerate(constants.BUCKETS) if value <= bound), -1)
        self.counts[bucket] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, int]]:
        """(upper bound, number of values up to it), cumulative as the library expects them."""
        cumulative, count = [], 0
        for bound, bucket_count in zip((*constants.BUCKETS, "+Inf"), self.counts, strict=False):
            count += bucket_count
            cumulative.append((str(bound), count))
        return cumulative


class _FamilyCollector:
    """A collector that passes metric families to the library's registry."""

    def __init__(self, families: list[Any]) -> None:
        self.families = families

    def collect(self) -> list[Any]:
        return self.families


# A metric: (kind, name without prefix, help, label names, [(label values, value)]).
Metric = tuple[str, str, str, tuple[str, ...], list[tuple[Any, Any]]]


def text(metrics: Iterable[Metric]) -> str:
    """Metrics as text, in the order given."""
    # imported on first use: it takes over a third as long as everything else in a daemon's start
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

    kinds = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily, "histogram": HistogramMetricFamily}
    families = []
    for kind, name, help_text, labels, values in metrics:
        family = kinds[kind](f"pinepitch_{name}", help_text, labels=labels)
        for label_values, value in values:
            label_values = [str(label_value) for label_value in label_values]
            if kind == "histogram":
                family.add_metric(label_values, value.buckets(), value.total)
            else:
                family.add_metric(label_values, value)
        families.append(family)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_FamilyCollector(families))
    return generate_latest(registry).decode()


def event_metric(counts: Mapping[int, int]) -> Metric:
    """The metric that counts how often each numbered event was emitted, alike for every kind of daemon."""
    return (
        "counter",
        "events",
        "Numbered events told; docs/events.md lists them.",
        ("number", "event"),
        [((number, events.CATALOGUE[number][0]), count) for number, count in sorted(counts.items())],
    )

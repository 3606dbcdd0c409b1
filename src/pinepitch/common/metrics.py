"""Metrics: plain figures as text in the Prometheus manner, by the library."""

from . import constants, events


class Histogram:
    """How a figure is spread. Invariants: counts has one more element than the bounds;
    total is the sum of what was added."""

    def __init__(self):
        self.counts = [0] * (len(constants.BUCKETS) + 1)
        self.total = 0.0

    def add(self, value):
        place = next((one for one, bound in enumerate(constants.BUCKETS) if value <= bound), -1)
        self.counts[place] += 1
        self.total += value

    def buckets(self):
        help_text, count = [], 0
        for bound, one in zip((*constants.BUCKETS, "+Inf"), self.counts, strict=False):
            count += one
            help_text.append((str(bound), count))
        return help_text


class _FamilyCollector:
    """What the library asks for families."""

    def __init__(self, families):
        self.families = families

    def collect(self):
        return self.families


def text(figures):
    """The text of figures (kind, name, help, label names, [(label values, value)])."""
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


def event_figures(counts):
    """How often each numbered event was told, for every daemon alike."""
    return (
        "counter",
        "events",
        "Numbered events told; docs/events.md lists them.",
        ("number", "event"),
        [((number, events.CATALOGUE[number][0]), count) for number, count in sorted(counts.items())],
    )

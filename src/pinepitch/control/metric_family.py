"""One metric with all its samples, and the common shapes of metrics."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from ..common.metrics import Histogram

Labels = tuple[str, ...]
Sample = tuple[Labels, Any]  # label values, and a number or a histogram


class Family(NamedTuple):
    """One metric with all its samples, in the form that `common.metrics.text` takes."""

    kind: str  # "gauge", "counter" or "histogram"
    name: str  # without the prefix
    help_text: str
    labels: Labels
    samples: list[Sample]


def single(kind: str, name: str, help_text: str, value: float | Histogram) -> Family:
    """A metric without labels."""
    return Family(kind, name, help_text, (), [((), value)])


def by_label(kind: str, name: str, help_text: str, label: str, values: Mapping[str, Any]) -> Family:
    """A metric with one label, its samples ordered by the label's values."""
    return Family(
        kind,
        name,
        help_text,
        (label,),
        [((label_value,), value) for label_value, value in sorted(values.items())],
    )


def by_queue(name: str, help_text: str, queues: Iterable[str], values: Mapping[str, float]) -> Family:
    """A gauge for each of the queues; 0 for a queue that `values` lacks."""
    samples: list[Sample] = [((queue,), values.get(queue, 0)) for queue in sorted(queues)]
    return Family("gauge", name, help_text, ("queue",), samples)

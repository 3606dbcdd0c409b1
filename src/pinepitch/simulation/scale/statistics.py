"""Shares of values, and the line through the points of a sweep."""


def part(values, share):
    """The value below which a share of them lies, or None."""
    values = sorted(values)
    return round(values[min(len(values) - 1, int(share * len(values)))], 4) if values else None


def fit(points):
    """(slope, intercept, worst residual) of a line through [(x, y)] by least squares."""
    count = len(points)
    middle, level = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    wide = sum((x - middle) ** 2 for x, _ in points)
    slope = sum((x - middle) * (y - level) for x, y in points) / wide if wide else 0.0
    return slope, level - slope * middle, max(abs(y - level - slope * (x - middle)) for x, y in points)

"""Documents as text for a terminal: aligned tables, or one line per field."""

from collections.abc import Mapping, Sequence
from typing import Any


def table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str] | None = None) -> str:
    """Rows as aligned text, "(none)" if there are none; columns default to those of the first row."""
    if not rows:
        return "(none)"
    columns = columns or list(rows[0])
    cells = [[str(column) for column in columns]]
    cells += [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    return "\n".join(_aligned(line, widths) for line in cells)


def flat(document: Mapping[str, Any]) -> str:
    """A document's plain fields, one per line, then its lists, as tables if they contain documents."""
    lines = [f"{key}: {value}" for key, value in document.items() if not isinstance(value, list)]
    for key, value in document.items():
        if isinstance(value, list):
            lines += [f"{key}:", _listed(value)]
    return "\n".join(lines)


def _cell(value: Any) -> str:
    return "" if value is None else str(value)


def _aligned(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()


def _listed(values: list[Any]) -> str:
    if values and isinstance(values[0], dict):
        return table(values)
    return "  " + ", ".join(map(str, values))

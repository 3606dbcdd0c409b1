"""Commands about leased jobs, the workers that run them, and the configuration that routes them."""

from typing import Any

from .front_commands import Document, FrontCommands, as_json_text, text_argument
from .text_tables import table

BATCH_COLUMNS = ("time", "step", "waiting", "placed", "done", "failures", "why")
PLACEMENT_COLUMNS = ("task", "run", "minion", "since", "epoch", "running", "percent", "stop")
WORKER_COLUMNS = (
    "minion",
    "service",
    "zone",
    "rack",
    "state",
    "closed",
    "free",
    "room",
    "placed",
    "running",
    "failing",
    "speed",
    "heard",
)
LISTS = ("waves", "placements", "more_waves")  # fields of a job that are not shown as one line each


class LeasedJobCommands(FrontCommands):
    """show."""

    @text_argument("job")  # 16 hex digits may look like a number
    def show(self, job: str) -> None:
        """Shows a leased job's state, its waves and its placements."""
        self._get(f"/v1/jobs/{job}", job_text)


class RouteConfigurationCommands(FrontCommands):
    """show."""

    def show(self) -> None:
        """Shows the active routes and services."""
        self._get("/v1/configuration", as_json_text)


def job_text(document: Document) -> str:
    """A leased job as text."""
    lines = [f"{key}: {value}" for key, value in document.items() if key not in LISTS and value is not None]
    if document["waves"]:
        batches = [{**batch, "why": waiting_reason(batch)} for batch in document["waves"]]
        lines += ["waves:", table(batches, BATCH_COLUMNS)]
    if document["more_waves"]:
        lines.append(f"and {document['more_waves']} more waves")
    if document["placements"]:
        lines += ["placements:", table(document["placements"], PLACEMENT_COLUMNS)]
    return "\n".join(lines)


def waiting_reason(batch: dict[str, Any]) -> str:
    """Why tasks of a batch wait, with the number of workers that each reason excludes."""
    candidates = sorted(batch.get("candidates", {}).items())
    excluded = ", ".join(f"{count} {reason}" for reason, count in candidates)
    return str(batch["why"]) + (f" (workers: {excluded})" if excluded else "")


def workers_text(document: Document) -> str:
    """The workers that run leased jobs as a table."""
    rows = []
    for worker in document["workers"]:
        capacities = {name: capacity_text(worker[name]) for name in ("free", "room")}
        rows.append({**worker, **capacities})
    return table(rows, WORKER_COLUMNS)


def capacity_text(capacity: dict[str, int] | None) -> str:
    """A capacity as CPU/MEMORY/ACCELERATORS (thousandths of a core, MB, number); "" if unknown."""
    return "" if capacity is None else f"{capacity['cpu']}/{capacity['mem_mb']}/{capacity['gpu']}"

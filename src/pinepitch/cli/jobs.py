"""Commands about jobs and the configuration that routes them."""

import json

from fire.decorators import SetParseFn

from .front_commands import FrontCommands, table


class Job(FrontCommands):
    """show."""

    @SetParseFn(str, "job")  # 16 hex digits may look like a number
    def show(self, job):
        """A job's state, its waves and its placements."""
        self._get(f"/v1/jobs/{job}", self._show)

    @staticmethod
    def _show(document):
        lines = [
            f"{key}: {value}"
            for key, value in document.items()
            if key not in ("waves", "placements", "more_waves") and value is not None
        ]
        if document["waves"]:
            lines += [
                "waves:",
                table(
                    [{**one, "why": why_of(one)} for one in document["waves"]],
                    ["time", "step", "waiting", "placed", "done", "failures", "why"],
                ),
            ]
        if document["more_waves"]:
            lines.append(f"and {document['more_waves']} more waves")
        if document["placements"]:
            lines += [
                "placements:",
                table(
                    document["placements"],
                    ["task", "run", "minion", "since", "epoch", "running", "percent", "stop"],
                ),
            ]
        return "\n".join(lines)


def why_of(wave):
    """Why some of a wave waits, with how many workers each reason rules out."""
    ruled = ", ".join(f"{count} {why}" for why, count in sorted(wave.get("candidates", {}).items()))
    return wave["why"] + (f" (workers: {ruled})" if ruled else "")


class Configuration(FrontCommands):
    """show."""

    def show(self):
        """The routes and services in force."""
        self._get("/v1/configuration", lambda document: json.dumps(document, indent=2))


WORKER_COLUMNS = [
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
]


def capacity_text(capacity):
    """A room as CPU/MEMORY/ACCELERATORS."""
    return "" if capacity is None else f"{capacity['cpu']}/{capacity['mem_mb']}/{capacity['gpu']}"

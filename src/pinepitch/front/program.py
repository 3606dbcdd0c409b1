"""The program of a front daemon, which accepts requests and delivers orders, and stores nothing on disk."""

import secrets
from typing import Any

import fire

from ..common import events
from ..runtime.serving import checked_settings, serve
from .daemon import FrontDaemon


def run(
    settings: Any = None,
    address: Any = None,
    zone: Any = None,
    seeds: Any = None,
    http: Any = None,
    level: Any = None,
    memory_mb: Any = None,
    descriptors: Any = None,
) -> None:
    """Runs a front daemon.

    Args:
        settings: a TOML file; flags override it. Its fields are named like the flags, but `area` for --zone.
        address: this daemon's IP:PORT for other daemons.
        http: this daemon's IP:PORT for clients, workers and operators.
        zone: the zone of this machine.
        seeds: three IP:PORT of other daemons, separated by commas.
        level: log level: debug, info, warning, error, critical.
        memory_mb: megabytes of memory it may take (default 512); bounds what callers hold.
        descriptors: descriptors it may open (default 4096); bounds the connections of callers.

    """
    daemon_settings = checked_settings(
        "verge",
        settings,
        {
            "address": address,
            "area": None if zone is None else str(zone),
            "seeds": list(seeds) if isinstance(seeds, tuple) else seeds,
            "http": http,
            "level": level,
            "memory_mb": memory_mb,
            "descriptors": descriptors,
        },
    )
    identity = secrets.token_hex(6)
    log = events.logger("verge", identity, daemon_settings.level)
    serve(
        "verge",
        FrontDaemon(identity, daemon_settings.address, daemon_settings.zone, daemon_settings.seeds),
        daemon_settings,
        log,
    )


def main(arguments: list[str] | None = None) -> None:
    """Runs the daemon with the given arguments, by default those of the process."""
    fire.Fire(run, command=arguments, name="pinepitch front")

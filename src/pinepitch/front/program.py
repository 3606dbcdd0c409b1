"""The program of a front daemon: takes requests and delivers orders; keeps nothing on disk."""

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
) -> None:
    """Runs a front daemon.

    Args:
        settings: a TOML file; flags win over it. Its fields are named as the flags, but for `area` (--zone).
        address: own IP:PORT towards other daemons.
        http: own IP:PORT towards callers, workers and operators.
        zone: the zone this machine stands in.
        seeds: three IP:PORT of other daemons, parted by commas.
        level: log level: debug, info, warning, error, critical.

    """
    found = checked_settings(
        "verge",
        settings,
        {
            "address": address,
            "area": None if zone is None else str(zone),
            "seeds": list(seeds) if isinstance(seeds, tuple) else seeds,
            "http": http,
            "level": level,
        },
    )
    identity = secrets.token_hex(6)
    log = events.logger("verge", identity, found.level)
    serve("verge", FrontDaemon(identity, found.address, found.zone, found.seeds), found, log)


def main(arguments: list[str] | None = None) -> None:
    """Runs the daemon with these arguments, by default the process's."""
    fire.Fire(run, command=arguments, name="pinepitch front")

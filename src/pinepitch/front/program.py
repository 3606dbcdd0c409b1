"""The verge daemon: takes calls and sends orders; keeps nothing on disk."""

import secrets

import fire

from ..common import events
from ..runtime.process import checked_settings, serve
from .daemon import FrontDaemon


def run(settings=None, address=None, area=None, seeds=None, http=None, level=None):
    """Runs a verge.

    Args:
        settings: a TOML file with the fields below; flags win over it.
        address: own IP:PORT towards other daemons.
        http: own IP:PORT towards callers, minions and operators.
        area: the area this machine stands in.
        seeds: three IP:PORT of other daemons, parted by commas.
        level: log level: debug, info, warning, error, critical.
    """
    found = checked_settings(
        "verge",
        settings,
        {
            "address": address,
            "area": None if area is None else str(area),
            "seeds": list(seeds) if isinstance(seeds, tuple) else seeds,
            "http": http,
            "level": level,
        },
    )
    identity = secrets.token_hex(6)
    log = events.logger("verge", identity, found.level)
    serve("verge", FrontDaemon(identity, found.address, found.zone, found.seeds), found, log)


def main():
    fire.Fire(run, name="verge")

"""The control daemon's program: reads its settings, opens its data folder and serves."""

import secrets
import sys
from collections.abc import Iterable
from typing import Any, NoReturn

import fire

from ..common import events
from ..common.daemon_settings import Settings
from ..common.limits import Limits
from ..runtime.serving import checked_settings, serve
from ..storage.folder_lock import FolderLock
from .alert_watch import Rule
from .daemon import ControlDaemon
from .startup import identity_of, open_store

FIELDS = {"zone": "area", "bootstrap_size": "founders"}  # flag -> field of the settings, if different


def _end(faults: Iterable[str]) -> NoReturn:
    """Ends the program with exit code 2 and a line for each fault."""
    for fault in faults:
        print(f"accord: {fault}", file=sys.stderr)
    sys.exit(2)


def read_rules(path: str | None) -> tuple[Rule, ...]:
    """The alert rules of a file; ends the program with exit code 2 and one line for each fault."""
    if path is None:
        return ()
    from .alert_rules import read  # imported late because most daemons have no such file

    try:
        with open(path, encoding="utf-8") as file:
            rules, faults = read(file.read())
    except (OSError, UnicodeDecodeError) as fault:
        rules, faults = None, (("", str(fault)),)
    if rules is None:
        _end(f"rules {path}: {location}: {message}" for location, message in faults)
    return rules


def _serve(settings: Settings, rules: tuple[Rule, ...]) -> None:
    """Runs a control daemon with checked settings until it is asked to stop."""
    assert settings.data is not None, "the settings of a control daemon name its data folder"
    try:
        lock = FolderLock(settings.data)
        store, base, steps, segments, damage = open_store(settings.data)
        identity = identity_of(store, base, steps)
    except OSError as fault:
        _end([f"data {settings.data}: {fault}"])
    log = events.logger("accord", identity, settings.level)
    if damage:
        events.emit(log, 103, why=damage)
    daemon = ControlDaemon(
        identity,
        settings.address,
        settings.zone,
        settings.seeds,
        settings.bootstrap_members,
        settings.mode,
        seed=secrets.token_hex(4),
    )
    daemon.tracing = settings.level == "debug"
    daemon.rules = rules
    daemon.limits = Limits(settings.memory, settings.disk)
    daemon.begun_at = lock.locked_at
    daemon.restore(base, steps, segments)
    serve("accord", daemon, settings, log, store)


def run(
    settings: Any = None,
    address: Any = None,
    zone: Any = None,
    seeds: Any = None,
    data: Any = None,
    level: Any = None,
    bootstrap_size: Any = None,
    mode: Any = None,
    http: Any = None,
    rules: Any = None,
    memory_mb: Any = None,
    disk_mb: Any = None,
    descriptors: Any = None,
) -> None:
    """Runs a control daemon.

    Args:
        settings: a TOML file; flags win over it. Its fields are named as the flags, but for
            `area` (--zone) and `founders` (--bootstrap-size).
        address: own IP:PORT.
        zone: the zone this machine stands in.
        seeds: three IP:PORT of other daemons, parted by commas.
        data: the data folder.
        level: log level: debug, info, warning, error, critical.
        bootstrap_size: how many empty control daemons may start a cluster (default 3; 1 for a try).
        mode: quorum mode of a new cluster: static (default), dynamic, or single (every member a group).
        http: own IP:PORT for health and metrics; none when left out.
        rules: a YAML file of alert rules; the same one at every control daemon.
        memory_mb: megabytes of memory it may take (default 512); bounds the log and what callers hold.
        disk_mb: megabytes that its data folder may take (default 2000); bounds the log.
        descriptors: descriptors it may open (default 4096); bounds the connections of callers.

    """
    flags = dict(locals())  # all arguments by name; fire has read each as a Python literal where it is one
    del flags["settings"]
    flags["zone"] = None if zone is None else str(zone)
    flags["seeds"] = list(seeds) if isinstance(seeds, tuple) else seeds
    fields = {FIELDS.get(flag, flag): value for flag, value in flags.items()}
    checked = checked_settings("accord", settings, fields)
    _serve(checked, read_rules(checked.rules))


def main(arguments: list[str] | None = None) -> None:
    """Runs the daemon with these arguments, by default the process's."""
    fire.Fire(run, command=arguments, name="pinepitch control")

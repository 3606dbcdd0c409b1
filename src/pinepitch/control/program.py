"""The accord daemon: keeps the record with its cohort."""

import secrets
import sys

import fire

from ..common import events
from ..common.limits import Limits
from ..runtime.process import checked_settings, serve
from ..storage.folder_lock import FolderLock
from .daemon import ControlDaemon
from .startup import identity_of, open_store


def read_rules(path):
    """The alert rules of a file, or exit 2 with one line per fault."""
    if path is None:
        return ()
    from .alert_rules import read as rules_of  # most daemons have no such file

    try:
        with open(path, encoding="utf-8") as file:
            found, faults = rules_of(file.read())
    except (OSError, UnicodeDecodeError) as fault:
        found, faults = None, (("", str(fault)),)
    if found is None:
        for location, message in faults:
            print(f"accord: rules {path}: {location}: {message}", file=sys.stderr)
        sys.exit(2)
    return found


def run(
    settings=None,
    address=None,
    zone=None,
    seeds=None,
    data=None,
    level=None,
    bootstrap_size=None,
    mode=None,
    http=None,
    rules=None,
    memory_mb=None,
    disk_mb=None,
):
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
        memory_mb: megabytes of memory it may take (default 512); bounds the log.
        disk_mb: megabytes that its data folder may take (default 2000); bounds the log.
    """
    found = checked_settings(
        "accord",
        settings,
        {
            "address": address,
            "area": None if zone is None else str(zone),
            "seeds": list(seeds) if isinstance(seeds, tuple) else seeds,
            "data": data,
            "level": level,
            "founders": bootstrap_size,
            "mode": mode,
            "http": http,
            "rules": rules,
            "memory_mb": memory_mb,
            "disk_mb": disk_mb,
        },
    )
    judged = read_rules(found.rules)
    try:
        lock = FolderLock(found.data)
        store, base, steps, segments, damage = open_store(found.data)
        identity = identity_of(store, base, steps)
    except OSError as fault:
        print(f"accord: data {found.data}: {fault}", file=sys.stderr)
        sys.exit(2)
    log = events.logger("accord", identity, found.level)
    if damage:
        events.emit(log, 103, why=damage)
    core = ControlDaemon(
        identity,
        found.address,
        found.zone,
        found.seeds,
        found.bootstrap_members,
        found.mode,
        seed=secrets.token_hex(4),
    )
    core.tracing = found.level == "debug"
    core.rules = judged
    core.limits = Limits(found.memory, found.disk)
    core.begun_at = lock.since
    core.restore(base, steps, segments)
    serve("accord", core, found, log, store)


def main(arguments=None):
    """Runs the daemon with these arguments, by default the process's."""
    fire.Fire(run, command=arguments, name="pinepitch control")

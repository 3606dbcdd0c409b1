"""What the thin programs share: flags, settings, logs, and the way out when something is wrong."""

import sys
from collections.abc import Iterable, Mapping
from typing import Any

import curio

from ..common import constants, daemon_settings, events
from ..storage.store import Store
from .host import Host
from .http_port import Adapter


def checked_settings(
    program: str, settings_file: str | None, flags: Mapping[str, object]
) -> daemon_settings.Settings:
    """The settings, or exit 2 with one line per fault."""
    found, faults = daemon_settings.read(program, settings_file, flags)
    if found is None:
        for fault in faults:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)
    return found


def serve(
    program: str,
    core: Any,
    found: daemon_settings.Settings,
    log: Any,
    store: Store | None = None,
    adapters: Iterable[tuple[str, Adapter]] = (),
    stop_within: float = constants.STOP_WITHIN,
    watch: Any = None,
) -> None:
    """Runs a decider until it is told to stop. A broken invariant ends the process with 70, a port that
    can't be opened with 1.
    """
    host = Host(core, found.address, log, store, found.http, adapters, stop_within, watch)
    try:
        curio.run(host.run)
    except AssertionError as broken:
        events.emit(log, 104, why=str(broken))
        sys.exit(70)
    except OSError as fault:
        print(f"{program}: {found.address}: {fault}", file=sys.stderr)
        sys.exit(1)

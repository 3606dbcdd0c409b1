"""Common code of the daemon programs: reads settings, runs the host, and exits with a status on errors."""

import gc
import sys
from collections.abc import Iterable, Mapping
from typing import Any

import curio

from ..common import constants, daemon_settings, events
from ..common.entry_error import EntryNotAppliedError
from ..common.limits import CallerLimits
from ..storage.store import Store
from ..transport.callers import CallerTable
from .host import Host
from .http_port import Adapter


def checked_settings(
    program: str, settings_file: str | None, flags: Mapping[str, object]
) -> daemon_settings.Settings:
    """The settings; if they are invalid, prints one line per fault and exits with status 2."""
    settings, faults = daemon_settings.read(program, settings_file, flags)
    if settings is None:
        for fault in faults:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)
    return settings


def _collect_rarely() -> None:
    """Makes the search for reference cycles rare, and excludes from it what was made until now. Reference
    counts free nearly all that a daemon makes, so the search mostly finds nothing.
    """
    gc.set_threshold(constants.OBJECTS_BETWEEN_COLLECTIONS)
    gc.freeze()


def serve(
    program: str,
    daemon: Any,
    settings: daemon_settings.Settings,
    log: Any,
    store: Store | None = None,
    adapters: Iterable[tuple[str, Adapter]] = (),
    stop_within: float = constants.STOP_WITHIN,
    watch: Any = None,
) -> None:
    """Runs a daemon until a signal stops it. The process exits with status 70 if an invariant is broken or a
    committed entry can't be applied, and with 1 if a port can't be opened.
    """
    _collect_rarely()
    callers = daemon.callers = CallerTable(CallerLimits(settings.memory, settings.descriptors))
    host = Host(daemon, settings.address, log, store, settings.http, adapters, stop_within, watch, callers)
    try:
        curio.run(host.run)
    except EntryNotAppliedError as stopped:
        events.emit(log, 109, **stopped.fields())
        sys.exit(70)
    except AssertionError as broken:
        events.emit(log, 104, why=str(broken))
        sys.exit(70)
    except OSError as fault:
        print(f"{program}: {settings.address}: {fault}", file=sys.stderr)
        sys.exit(1)

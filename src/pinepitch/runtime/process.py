"""What the thin programs share: flags, env, logs, and the way out when something is wrong."""

import sys

import curio

from ..common import constants, daemon_settings, events
from .host import Host


def checked_settings(program, settings_file, flags):
    """The Env, or exit 2 with one line per fault."""
    found, faults = daemon_settings.read(program, settings_file, flags)
    if faults:
        for fault in faults:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)
    return found


def serve(program, core, found, log, store=None, adapters=(), stop_within=constants.STOP_WITHIN, watch=None):
    """Runs a decider until it is told to stop; a broken invariant ends the process."""
    host = Host(core, found.address, log, store, found.http, adapters, stop_within, watch)
    try:
        curio.run(host.run)
    except AssertionError as broken:
        events.emit(log, 104, why=str(broken))
        sys.exit(70)
    except OSError as fault:
        print(f"{program}: {found.address}: {fault}", file=sys.stderr)
        sys.exit(1)

"""The daemons of a soak as processes: settings, data folders, starts, stops and logs."""

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("a", "b", "c")
CORES, FRONTS = 3, 2
INTERNAL_PORTS = 16  # kept free on every address for what the daemons say to each other
GRACE = 6  # seconds; from SIGTERM to SIGKILL
STOPPED = 108  # the event that reports that a daemon did not run, and for how many seconds
OUTLASTED = re.compile(r"took longer than an enclosing timeout\. Badness delta=([0-9]+\.[0-9]+)")
# Events that none of the injected faults can cause: broken invariants, an entry that can't be applied,
# answers to the wrong caller, a disk that lost what was acknowledged, two machines under one name.
FORBIDDEN_EVENTS = (104, 109, 128, 145, 146, 158, 184)


class Ports:
    """Ports that are free on all addresses of a soak; the settings need the same ports on each."""

    def __init__(self, addresses, draw):
        for _ in range(100):
            self.first = draw.randrange(20_000, 30_000)
            wanted = range(self.first, self.first + INTERNAL_PORTS + 3)
            if all(_is_free(address, port) for address in addresses for port in wanted):
                break
        else:
            raise OSError("no free ports")
        self.last = self.first + INTERNAL_PORTS - 1
        self.control, self.front, self.readiness = self.last + 1, self.last + 2, self.last + 3


def _is_free(address, port):
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((address, port))
        except OSError:
            return False
    return True


class Processes:
    """The processes of a soak. Invariant: every process that runs is in `running`; a paused one is also in
    `paused`, with the time of the pause.
    """

    def __init__(self, seed, folder, fronts=FRONTS, limits=()):
        self.folder = pathlib.Path(folder)
        self.limits = {"limits.memoryMb": "256", **dict(limits)}  # field of the settings -> value
        draw = random.Random(f"soak-{seed}-{os.getpid()}")
        network = f"127.{draw.randrange(10, 250)}.{draw.randrange(250)}"
        self.addresses = {f"core{place}": f"{network}.{place + 1}" for place in range(CORES)}
        self.addresses |= {f"front{place}": f"{network}.{place + 101}" for place in range(fronts)}
        self.ports = Ports(self.addresses.values(), draw)
        self.running, self.paused, self.founded = {}, {}, set()
        self.longest_pauses = {}  # name -> seconds

    @property
    def controls(self):
        """Addresses that workers and the operator call."""
        return [f"{self.addresses[f'core{place}']}:{self.ports.control}" for place in range(CORES)]

    @property
    def fronts(self):
        """Addresses that clients submit jobs to."""
        return [
            f"{self.addresses[f'front{place}']}:{self.ports.front}"
            for place in range(len(self.names("front")))
        ]

    def address(self, name, port):
        """The address of one of a daemon's ports: front, readiness, control, product or frames."""
        first = self.ports.first + (2 if name.startswith("front") else 0)
        number = {
            "front": self.ports.front,
            "readiness": self.ports.readiness,
            "control": self.ports.control,
            "frames": first,
            "product": first + 1,
        }[port]
        return f"{self.addresses[name]}:{number}"

    @property
    def memory_limit(self):
        """Bytes of memory that the settings allow a daemon."""
        return int(self.limits["limits.memoryMb"]) * 1_000_000

    def memory_peak(self, name):
        """The most bytes of memory that a daemon's process has used."""
        lines = pathlib.Path(f"/proc/{self.running[name].pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:"))

    def names(self, kind):
        """The daemons of a kind, "core" or "front"."""
        return [name for name in self.addresses if name.startswith(kind)]

    def _settings(self, name):
        """Writes a daemon's settings file and returns its path."""
        address, core, place = self.addresses[name], name.startswith("core"), int(name.strip("corefnt"))
        lines = {
            "nodeName": name,
            "zone": ZONES[place % len(ZONES)],
            "ipAddress": address,
            "internalPortRange": f"{self.ports.first},{self.ports.last}",
            "seedAddresses": ",".join(self.controls),
            "firstStart": str(name not in self.founded).lower(),
            "bounds.graceS": str(GRACE),
            "bounds.holdMaxMs": "5000",
            "bounds.catchUpS": "4",
            "bounds.farFactor": "2",
            "toleratedLosses.machines": "1",
            **self.limits,
        }
        if core:
            lines["listenAddresses.control"] = f"{address}:{self.ports.control}"
            lines["dataDirectory"] = str(self.folder / name)
            lines["limits.diskMb"] = "128"
        else:
            lines["listenAddresses.front"] = f"{address}:{self.ports.front}"
            lines["listenAddresses.readiness"] = f"{address}:{self.ports.readiness}"
        path = self.folder / f"{name}.conf"
        path.write_text("".join(f"{field}={value}\n" for field, value in lines.items()))
        return path

    def start(self, name):
        """Starts a daemon that does not run."""
        settings, program = self._settings(name), name.rstrip("0123456789")
        (self.folder / name).mkdir(exist_ok=True)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / f"{program}.py")],
                env={**os.environ, "PINEPITCH_SETTINGS": str(settings)},
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.founded.add(name)

    def start_all(self):
        for name in self.addresses:
            self.start(name)

    def kill(self, name):
        """Kills a daemon with SIGKILL."""
        process = self.running.pop(name)
        process.kill()
        process.wait()
        self.paused.pop(name, None)

    def pause(self, name):
        self.running[name].send_signal(signal.SIGSTOP)
        self.paused[name] = time.monotonic()

    def resume(self, name):
        if name in self.paused:
            passed = time.monotonic() - self.paused.pop(name)
            self.longest_pauses[name] = max(passed, self.longest_pauses.get(name, 0.0))
            self.running[name].send_signal(signal.SIGCONT)

    def signal(self, name, number):
        """Sends a signal to a daemon that runs."""
        self.running[name].send_signal(number)

    def wait_stopped(self, name):
        """Waits until a daemon that was sent SIGTERM has ended; whether it ended in time."""
        process = self.running.pop(name)
        try:
            process.wait(GRACE)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return False
        return True

    def wipe(self, name):
        """Deletes the data folder of a daemon that does not run."""
        shutil.rmtree(self.folder / name)

    def stop(self):
        """Sends SIGTERM to all daemons; returns the names of those that had to be killed."""
        for name in list(self.running):
            self.resume(name)
            self.running[name].terminate()
        late, until = [], time.monotonic() + GRACE
        for name, process in self.running.items():
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                late.append(name)
        self.running = {}
        return late

    def forbidden_events(self):
        """Lines of the daemons' logs that must not occur: events of FORBIDDEN_EVENTS, and lines that are no
        events, such as a traceback. The library's warning that an operation exceeded its time-out is allowed
        for a daemon that did not run for that long: no operation can end in time then.
        """
        found = []
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()
            stopped = self._longest_stop(path.stem, lines)
            for line in lines:
                event = event_of(line)
                if event is None:
                    late = OUTLASTED.search(line)
                    bad = late is None or float(late[1]) > stopped
                else:
                    bad = event.get("number") in FORBIDDEN_EVENTS
                if bad:
                    found.append(f"{path.stem}: {line}")
        return found

    def _longest_stop(self, name, lines):
        """The longest time in seconds that a daemon did not run: paused by the soak, or by its own report."""
        events = [event_of(line) or {} for line in lines]
        own = [event["seconds"] for event in events if event.get("number") == STOPPED]
        return max([self.longest_pauses.get(name, 0.0), *own])


def event_of(line):
    """The event in a line of a log, or None if the line is none."""
    try:
        event = json.loads(line)
    except ValueError:
        return None
    return event if isinstance(event, dict) else None

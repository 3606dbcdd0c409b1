"""One soak: real daemons, stand-in workers and a stand-in client in real time, under random faults."""

import random
import shutil
import tempfile
import time
from typing import NamedTuple

from pinepitch.simulation.jobs import checks, limits
from pinepitch.simulation.jobs.stand_in_client import StandInClient
from pinepitch.simulation.stand_in_lease_worker import StandInLeaseWorker

from . import leaving_clients, wire
from .processes import FRONTS, ZONES, Processes
from .troubles import FAULTS

STEP = 0.02  # seconds; between two steps of the workers, the client and the faults
AT_ONCE = 3  # faults; the most at the same time
PAUSE_MOST = 1.5  # seconds; the longest between the starts of two faults
WIPE_APART = 10.0  # seconds; a second disk is lost only after the first one was replicated again
READY_WITHIN = 20.0  # seconds; from the first start until the first configuration is acknowledged
ENDS_WITHIN = 60.0  # seconds; until every job has ended after the last fault
HEARTBEAT_TIMEOUT, CALL_TIMEOUT = 1.0, 3.0  # seconds
RUNNING_AFTER_CANCEL = limits.LEASE_LONGEST + 2.0  # seconds; a cancelled run on a worker that is cut off


# Tenant -> the maximum of what its jobs run, more than all workers have, so that no job waits for ever.
TENANTS = {"limited": {"cpu": 1_000_000, "gpu": 1_000}, "unlimited": None}


def tenant_of(identity):
    """The tenant that submits a job."""
    return sorted(TENANTS)[int(identity, 16) % len(TENANTS)]


def key_of(tenant):
    """The key of a tenant."""
    return f"key of {tenant}"


class Outcome(NamedTuple):
    """What a soak found: violations in words, and counts of what was injected."""

    seed: int
    faults: list
    fault_log: list  # (seconds, name of the fault, the daemon or worker)
    most_at_once: int
    jobs: int  # of clients that stay
    starts: int
    requests_cut: list  # requests that a daemon had read and that got no answer, in words
    early_cancels: int  # acknowledged cancels of clients that left before their job was answered


class PlannedStop(NamedTuple):
    """The time from a daemon's SIGTERM until it had ended."""

    host: str
    begun: float  # seconds
    ended: float


class Soak:
    """One soak. Invariant: violations are judged by answers to clients, runs of workers and logs alone."""

    def __init__(self, seed, folder, fronts=FRONTS):
        self.seed, self.draw = seed, random.Random(f"soak-{seed}")
        self.processes, self.calls = Processes(seed, folder, fronts), wire.Caller()
        self.version = self.version_sent = 0  # of the configuration: acknowledged, and sent last
        self.history, gangs = [], {}
        self.workers = {}
        for place in range(limits.TENANTS):
            self.workers[f"w{place}"] = StandInLeaseWorker(
                f"w{place}",
                ZONES[place % len(ZONES)],
                f"10.0.0.{place + 1}:80",
                limits.CAPACITY,
                ["ab"[place // 2 % 2], f"r1-{place % 3}"],
                place % 2 == 0,
                seed,
                self.history,
                "bare" if place % 2 else "held",
                self.processes.controls,
                gangs,
            )
        self.client_stand_in = StandInClient(seed)
        self.leaving = leaving_clients.LeavingClients(
            self.client_stand_in,
            self.calls,
            self.processes.fronts,
            random.Random(f"leaving-{seed}"),
            lambda identity: key_of(tenant_of(identity)),
        )
        self.cuts, self.planned_stops = [], []  # wire.Cut, and PlannedStop
        self.away, self.cut, self.answer_loss, self.wiped_at = set(), set(), 0.0, 0.0
        self.crowds = {}  # daemon -> (what its crowd does, the crowd)
        self.open = {}  # daemon or worker -> (name of its fault, when it ends)
        self.next_fault = 0.0
        self.terminated = {}  # daemon -> when it was sent SIGTERM
        self.restart_next = []  # daemons that are still to be restarted one after another
        self.met, self.most_at_once, self.faults = [], 0, []

    def clock(self):
        """The clock of the soak, in seconds."""
        return time.time()

    # --- stand-ins ------------------------------------------------------------------------
    def finish_incarnation(self, name):
        """Ends a drained worker, and starts its next incarnation."""
        self.workers[name].crash(self.clock())
        self.workers[name].begin()

    def _step_workers(self, now):
        for name, worker in self.workers.items():
            if name in self.away:
                continue
            for effect in worker.step(("tick",), now):
                self._say(name, worker, effect)

    def _say(self, name, worker, effect):
        incarnation = worker.births
        if effect[0] == "leave":
            path, document, purpose = f"/api/Minions.Leave/{effect[2]}", {}, ("left", name, incarnation, 0)
        else:
            _, _, number, identity, heartbeat = effect
            path, document = f"/api/Minions.Heartbeat/{identity}", wire.heartbeat_of(heartbeat)
            purpose = ("beat", name, incarnation, number)
        if name not in self.cut:
            request = wire.Request(effect[1], "POST", path, document, "", HEARTBEAT_TIMEOUT)
            self.calls.send(purpose, request)

    def _step_client(self, now):
        for _, draw, call, arguments, tag in self.client_stand_in.step(("tick",), now):
            host, path, *rest = arguments
            method = {"job": "POST", "job-read": "GET", "job-cancel": "DELETE"}[call]
            document = wire.job_of(rest[0]) if rest else None
            address = self.processes.fronts[draw % len(self.processes.fronts)]
            key = key_of(tenant_of(tag[0]))
            request = wire.Request(address, method, path, document, host, CALL_TIMEOUT, key=key)
            self.calls.send(("call", tag), request)

    def _hear(self, now):
        for purpose, status, document, cut in self.calls.taken():
            if cut is not None:
                self.cuts.append(cut)
            if purpose[0] == "change":
                self._hear_change(purpose[1], status)
                continue
            if purpose[0] == "leaving":
                self.leaving.hear(*purpose[1:], status, document, now)
                continue
            if self.draw.random() < self.answer_loss:
                status, document = wire.NO_ANSWER, {}
            if purpose[0] == "call":
                self.client_stand_in.step(("answered", purpose[1], status, document), now)
            elif purpose[0] == "beat":
                _, name, incarnation, number = purpose
                worker = self.workers[name]
                if worker.births == incarnation and name not in self.cut and name not in self.away:
                    worker.step(("told", number, status, wire.orders_of(document)), now)

    # --- faults --------------------------------------------------------------------------
    def _whom(self, kind):
        """The daemons or workers of a kind without a fault now."""
        if not kind:
            return [] if "" in self.open else [""]
        names = list(self.workers) if kind == "worker" else self.processes.names(kind)
        return [name for name in names if name not in self.open]

    def _step_faults(self, now, going):
        for name, (fault, until) in list(self.open.items()):
            if now >= until or not going:
                del self.open[name]
                FAULTS[fault].end(self, name)
        if not going or now < self.next_fault or len(self.open) >= AT_ONCE:
            return
        self.next_fault = now + self.draw.uniform(0, PAUSE_MOST)
        fault = self.draw.choice(sorted(FAULTS))
        whom = self._whom(FAULTS[fault].kind)
        cores_met = any(name in self.open for name in self.processes.names("core"))
        if not whom or (fault == "wipe-core" and (cores_met or now - self.wiped_at < WIPE_APART)):
            return
        if FAULTS[fault].kind == "core" and now - self.wiped_at < WIPE_APART:
            return  # nothing else may be lost until the lost disk was replicated again
        name = self.draw.choice(whom)
        self.open[name] = (fault, now + self.draw.uniform(FAULTS[fault].least, FAULTS[fault].most))
        FAULTS[fault].begin(self, name)
        self.met.append((round(now - self.begun, 2), fault, name))
        self.most_at_once = max(self.most_at_once, len(self.open))

    def restart(self, name):
        """Waits until a daemon that was sent SIGTERM has ended, and starts it again."""
        begun = self.terminated.pop(name)
        in_time = self.processes.wait_stopped(name)
        if not in_time:
            self.faults.append(f"{name} did not end within its grace period after SIGTERM")
        self.planned_stops.append(PlannedStop(self.processes.addresses[name], begun, self.clock()))
        self.processes.start(name)

    def _requests_cut(self):
        """Requests that a daemon had read before or in a planned stop and that it ended without an answer."""
        return [
            f"{stop.host} cut a request {cut.at - stop.begun:.2f} s after SIGTERM"
            for stop in self.planned_stops
            for cut in self.cuts
            if cut.address.startswith(f"{stop.host}:") and stop.begun <= cut.at <= stop.ended
        ]

    # --- the run ---------------------------------------------------------------------------
    def _configuration(self, version):
        """The configuration under a version; versions differ in their latency target alone."""
        routes = [
            {
                "name": name,
                "host": limits.HOST,
                "prefix": f"/{name}/",
                "service": name,
                "timeout_ms": 4000,
                "attempts": limits.ATTEMPTS,
                "priority": 1,
                "stretch": 3,
                "aim_ms": 500 + version,
            }
            for name in ("held", "bare")
        ]
        services = [{"name": "held", "guards": True}, {"name": "bare", "guards": False}]
        tenants = [
            {"name": name, "keys": [key_of(name)], "maximum": maximum} for name, maximum in TENANTS.items()
        ]
        document = {"version": version, "routes": routes, "services": services, "tenants": tenants}
        return wire.configuration_of(document)

    def _configure(self):
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            for address in self.processes.controls:
                if wire.exchange(self._change_request(address, 1))[0] == 200:
                    self.version = self.version_sent = 1
                    return
            time.sleep(0.1)
        raise AssertionError(f"no configuration was taken within {READY_WITHIN:.0f} s")

    def _change_request(self, address, version):
        document = self._configuration(version)
        return wire.Request(
            address, "POST", "/api/Configuration.Replace", document, "", CALL_TIMEOUT, self.version
        )

    def change_configuration(self):
        """Sends the next version to one control daemon, once; its answer is processed later."""
        self.version_sent += 1
        address = self.draw.choice(self.processes.controls)
        self.calls.send(("change", self.version_sent), self._change_request(address, self.version_sent))

    def _hear_change(self, version, status):
        if status == 200:
            self.version = max(self.version, version)

    def _check_configuration(self):
        """What is in force at the end is no older than what was acknowledged last."""
        until, found = time.monotonic() + READY_WITHIN, None
        while time.monotonic() < until:
            for address in self.processes.controls:
                request = wire.Request(address, "GET", "/api/Configuration.Read", None, "", CALL_TIMEOUT)
                status, document = wire.exchange(request)
                if status == 200:
                    found = document["configVersion"]
                    if found >= self.version:
                        return
                    self.faults.append(f"version {found} is in force, {self.version} was acknowledged")
                    return
            time.sleep(0.1)
        self.faults.append("no control daemon tells the configuration")

    def _step(self, going):
        now = self.clock()
        self._hear(now)
        self._step_faults(now, going)
        self._step_workers(now)
        self._step_client(now)
        self.leaving.step(now, going)
        time.sleep(STEP)

    def run(self, seconds):
        """Injects faults for so many seconds, then waits until every job has ended; returns an Outcome."""
        self.processes.start_all()
        try:
            self._configure()
            self.begun = self.clock()
            while self.clock() < self.begun + seconds:
                self._step(True)
            self.client_stand_in.stopped = True
            until = self.clock() + ENDS_WITHIN
            while self.clock() < until and not self.client_stand_in.quiet():
                self._step(False)
            if not self.client_stand_in.quiet():
                self.faults.append(f"not every job ended within {ENDS_WITHIN:.0f} s: {self._unended()}")
            self._check_configuration()
        finally:
            late = self.processes.stop()
            self.calls.close()
        self.faults += [f"{name} did not end in its grace" for name in late]
        self.faults += self.processes.forbidden_events()
        self.faults += self._judged()
        starts = sum(event[0] == "start" for event in self.history)
        jobs = sum(job["kind"] != leaving_clients.KIND for job in self.client_stand_in.jobs.values())
        cut = self._requests_cut()
        early_cancels = self.leaving.acknowledged
        return Outcome(self.seed, self.faults, self.met, self.most_at_once, jobs, starts, cut, early_cancels)

    def _unended(self):
        return [
            (job["identity"], job["kind"], job["accepted"] is not None)
            for job in self.client_stand_in.jobs.values()
            if job["refused"] is None and job["final"] is None
        ]

    def _judged(self):
        """The violations that the history checks of the simulated fleets find."""
        jobs = self.client_stand_in.jobs
        return [
            *checks.never_twice(self.history),
            *checks.steps_kept(self.history, jobs),
            *checks.attempts_kept(self.history, jobs),
            *checks.capacity_kept(self.history),
            *checks.cancels_kept(self.history, jobs, RUNNING_AFTER_CANCEL),
            *checks.outcomes_true(self.history, self.client_stand_in),
        ]


def soak(seed, seconds, fronts=FRONTS, keep=False):
    """Runs one soak. The folder with logs and disks is kept if something was found, or if asked for."""
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    outcome = Soak(seed, folder, fronts).run(seconds)
    if outcome.requests_cut:
        return outcome._replace(requests_cut=[*outcome.requests_cut, f"logs: {folder}"])
    if outcome.faults or keep:
        return outcome._replace(faults=[*outcome.faults, f"logs: {folder}"] if outcome.faults else [])
    shutil.rmtree(folder)
    return outcome

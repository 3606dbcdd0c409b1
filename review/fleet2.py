"""Starts a small deployment on loopback addresses and plays its platform, clients, operator and workers.

Only the standard library is used. The daemons are the project's own programs, started with the commands of
the deploy file, each on an address of its own, with settings like those of the site nss-pinepitch.
"""

import asyncio
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("osu-hall", "tema-hall", "madina-hall")
MEMORY_MB = 296  # a core machine of the site
FRONT_MEMORY_MB = 300
RESTART_AFTER = 0.5  # seconds; "a process that ends or is killed is started again after a short delay"
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "inTouchMs": 3000, "orderAckMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "outerBoundMs": 5000,
    "coldOverrun": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "holdMaxMs": 6000,
    "stopGraceMs": 400, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "farFactor": 3, "checkpointIntervalS": 1, "restoreMs": 100,
}
HOST = "nony24.example"
SERVICE = "huvo11a"


class Record:
    """The record of one run: lines with the seconds since its start, written to record.txt."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def free_ports(addresses):
    """The first of 24 ports that are free on all addresses."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        try:
            for address in addresses:
                for port in range(first, first + 24):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((address, port))
        except OSError:
            continue
        return first
    raise OSError("no free ports")


async def call(address, method, path, document=None, headers=None, timeout=1.0):
    """(status, document) of one HTTP call, or (None, what went wrong). A connection a call."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Content-Type": "application/json", "Content-Length": len(body)}
            fields |= headers or {}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status, length, location = int(head.split()[1]), 0, None
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
                if name.lower() == b"location":
                    location = value.decode().strip()
            data = await reader.readexactly(length)
            return status, (json.loads(data) if data else {"location": location})
    except (TimeoutError, OSError, EOFError, ValueError, IndexError) as fault:
        return None, f"{type(fault).__name__} {fault}".strip()
    finally:
        if writer is not None:
            writer.transport.abort()


class Fleet:
    """The daemons of one deployment as processes, and the platform that starts them again."""

    def __init__(self, record, cores=5, fronts=3, kill_over_memory=False):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pinepitch-review-"))
        network = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        self.addresses = {f"core{i}": f"{network}.{i + 1}" for i in range(cores)}
        self.addresses |= {f"front{i}": f"{network}.{i + 101}" for i in range(fronts)}
        self.port = free_ports(self.addresses.values())
        self.processes, self.started, self.held, self.ends = {}, set(), set(), []
        self.started_at = {}  # name -> when its newest process was started, seconds of the steady clock
        self.peak = {}
        self.kill_over_memory = kill_over_memory
        self.watcher, self.closing = None, False
        self.gangs = {}  # (job, time and step, run) -> {task: its worker} of the members that are present

    def control(self, name):
        """The address at which workers and the operator call a core machine."""
        return f"{self.addresses[name]}:{self.port + 16}"

    def front(self, name):
        """The address at which clients call a front machine."""
        return f"{self.addresses[name]}:{self.port + 17}"

    def readiness(self, name):
        """The address at which the platform asks a front machine whether it is ready."""
        return f"{self.addresses[name]}:{self.port + 18}"

    def names(self, kind):
        """The machines of a kind."""
        return [name for name in self.addresses if name.startswith(kind)]

    @property
    def controls(self):
        """The operator's list."""
        return [self.control(name) for name in self.names("core")]

    @property
    def fronts(self):
        """The addresses to which the platform passes clients."""
        return [self.front(name) for name in self.names("front")]

    def start(self, name):
        """Starts the process of a machine with the command of the deploy file."""
        kind, place = name.rstrip("0123456789"), int(name.lstrip("corefnt"))
        address = self.addresses[name]
        fields = {
            "nodeName": name, "role": kind, "machineClass": kind, "ipAddress": address,
            "serves": "control" if kind == "core" else "front", "zone": ZONES[place % 3],
            "region": "accra", "internalPortRange": f"{self.port},{self.port + 15}",
            "seedAddresses": ",".join(self.controls[:3]), "firstStart": str(name not in self.started).lower(),
            "lossCounted": str(kind == "core").lower(), "limits.cpuShare": "0.717", "limits.cpuCores": "3",
            "limits.memoryMb": str(MEMORY_MB if kind == "core" else FRONT_MEMORY_MB),
            "limits.fileDescriptors": "4096", "limits.linkMbps": "1000.0", "heartbeatMs": "1500",
            "limits.diskMb": "128" if kind == "core" else "0", "orders": "heartbeat",
            "toleratedLosses.machines": "1", "toleratedLosses.zones": "1", "toleratedLosses.regions": "0",
        }
        fields |= {f"zones.{zone}": "accra" for zone in ZONES}
        fields |= {f"bounds.{bound}": value for bound, value in BOUNDS.items()}
        if kind == "core":
            data = self.folder / name
            data.mkdir(exist_ok=True)
            fields |= {"listenAddresses.control": self.control(name), "dataDirectory": data}
        else:
            fields |= {"listenAddresses.front": self.front(name),
                       "listenAddresses.readiness": self.readiness(name)}
        path = self.folder / f"{name}.conf"
        path.write_text("".join(f"{field}={value}\n" for field, value in fields.items()))
        log = open(self.folder / f"{name}.log", "ab")
        known = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(
            ["python3", f"platform/{kind}.py"], cwd=ROOT, stdout=log, stderr=log,
            env={**known, "PINEPITCH_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target" / "deps"),
                 "PYTHONDONTWRITEBYTECODE": "1"},
        )
        log.close()
        self.started.add(name)
        self.started_at[name] = time.monotonic()

    async def begin(self):
        """Starts all machines and the platform's watch over them."""
        for name in self.addresses:
            self.start(name)
        self.watcher = asyncio.create_task(self._watch())

    def signal(self, name, number):
        """Sends a signal to a machine's process."""
        self.record(f"platform: {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def resident_mb(self, name):
        """Megabytes of memory that a process holds now, 0 if it has ended."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.processes[name].pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * resource.getpagesize() / 1e6

    async def _watch(self):
        """As the platform does: kills what is over its memory, starts again what has ended."""
        while True:
            await asyncio.sleep(0.02)
            for name, process in list(self.processes.items()):
                status = process.poll()
                if status is None:
                    size = self.resident_mb(name)
                    self.peak[name] = max(self.peak.get(name, 0.0), size)
                    limit = MEMORY_MB if name.startswith("core") else FRONT_MEMORY_MB
                    if self.kill_over_memory and size > limit:
                        self.record(f"platform: {name} holds {size:.0f} MB, over its {limit} MB: killed")
                        process.kill()
                        process.wait()
                        self.ends.append((name, "memory"))
                        self._again(name)
                elif name not in self.held:
                    self.record(f"platform: {name} ended with status {status}")
                    self.ends.append((name, status))
                    self._again(name)

    def _again(self, name):
        self.held.add(name)

        def start():
            self.held.discard(name)
            if not self.closing:
                self.start(name)

        asyncio.get_running_loop().call_later(RESTART_AFTER, start)

    async def configured(self, configuration):
        """The operator's first configuration, sent until it is taken, and the wait until fronts are ready."""
        for attempt in range(200):
            address = random.choice(self.controls)
            status, answer = await call(address, "POST", "/api/Configuration.Replace", configuration,
                                        {"X-Based-On-Version": "0"})
            if status == 200:
                self.record(f"operator: configuration {configuration['configVersion']} acknowledged")
                break
            await asyncio.sleep(0.2)
        else:
            return False
        for attempt in range(200):
            ready = [(await call(self.readiness(name), "GET", "/api/readiness"))[0] == 200
                     for name in self.names("front")]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    def log_lines(self, *numbers):
        """The events of some numbers in the daemons' logs, and lines that are no events."""
        found = []
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                try:
                    event = json.loads(line)
                except ValueError:
                    event = None
                if not isinstance(event, dict) or event.get("number") in numbers:
                    found.append(f"{path.stem}: {line[:300]}")
        return found

    async def finish(self):
        """Ends all processes and removes their files."""
        self.closing = True
        if self.watcher is not None:
            self.watcher.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version=1, routes=None):
    """A configuration with one service and three queues."""
    if routes is None:
        routes = [route("r-check", "/check/", 0, 3), route("r-scan", "/scan/", 1, 4),
                  route("r-plan", "/plan/", 2, 3)]
    return {
        "configVersion": version, "routes": routes,
        "services": [{"name": SERVICE, "healthPath": "/health", "connectionCap": 64, "protocol": "h1",
                      "tlsEnabled": False, "coldStartS": 0.0, "coldPerS": 0.0, "guards": True}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def route(name, prefix, priority, attempts):
    """A route of a configuration."""
    return {"name": name, "hostName": HOST, "pathPrefix": prefix, "routeKind": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 2000, "priority": priority, "serviceName": SERVICE, "maxAttempts": attempts,
            "stretch": 2.2}


def job_name():
    """A name for a job, chosen by its client."""
    return f"{random.randrange(16**16):016x}"


class Client:
    """Hands in jobs and asks for them, at fronts drawn by chance."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def once(self, method, prefix, name, document=None, front=None, timeout=3.0):
        """One try, to one front."""
        headers = {"Host": HOST, "X-Deadline-Remaining": str(int(timeout * 1000))}
        return await call(front or random.choice(self.fleet.fronts), method, prefix + name, document, headers,
                          timeout)

    async def submit(self, prefix, document, name=None, tries=5):
        """(name, status of the last try). After silence, a cut, 502 or 504 the same name is sent again."""
        name = name or job_name()
        status = None
        for attempt in range(tries):
            status, answer = await self.once("POST", prefix, name, document)
            self.record(f"client: POST {prefix}{name} -> {status} {answer}")
            if status is not None and status not in (502, 504):
                break
            await asyncio.sleep(0.1)
        return name, status

    async def state(self, prefix, name, timeout=3.0):
        """(status, state) of a job."""
        status, answer = await self.once("GET", prefix, name, timeout=timeout)
        return status, answer.get("state") if isinstance(answer, dict) else answer


class Room:
    """Samples, some 20 times a second, of the room in use and of the jobs that run on a list of workers."""

    def __init__(self, workers):
        self.workers, self.samples = workers, []
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        while True:
            free = [worker.free() for worker in self.workers]
            total = sum(worker.room["cpuUnits"] for worker in self.workers)
            jobs = {task.split(".")[0] for worker in self.workers for task, _ in worker.running}
            self.samples.append((time.monotonic(), 1 - sum(free) / total, free, jobs))
            await asyncio.sleep(0.05)

    def longest_wait(self, job, cpu, wanted, since, until):
        """The longest time in seconds for which a job had nothing running while there was room for it twice
        over and less than half of the room was in use (RULES.md, LOST).
        """
        longest, begun = 0.0, None
        for at, used, free, jobs in self.samples:
            if not since <= at <= until:
                continue
            room = sum(one // cpu for one in free)
            if job in jobs or used >= 0.5 or room < 2 * wanted:
                begun = None
                continue
            begun = at if begun is None else begun
            longest = max(longest, at - begun)
        return longest


def spec(seconds, cpu, gang=1):
    """The text of a job for the stand-in workers: how long a task takes, the thousandths of a core that it asks
    for, and how many members its gang has.
    """
    return f"{seconds} {cpu} {gang}"


class Worker:
    """A worker as our pages describe it: one beat at a time, starts and stops from its answers, a hold by its
    own steady clock. It guards its cores. The spec of a job says what its tasks do.
    """

    def __init__(self, fleet, record, number, cpu=16000, memory=65536, gpu=0):
        self.fleet, self.record, self.number = fleet, record, number
        self.identity = f"i-{random.randrange(16**8):08x}"
        self.zone, self.room = ZONES[number % 3], {"cpuUnits": cpu, "taskMemoryMb": memory, "gpuCount": gpu}
        self.running, self.ended, self.barred = {}, {}, {}
        self.sequence = self.end_count = self.fence = 0
        self.hold_until, self.address, self.state = None, None, "ready"
        self.starts, self.failing_jobs = [], set()  # failing: names of jobs that can never be done
        self.soon = asyncio.Event()
        self.over = False
        self.task = None

    def begin(self):
        """Starts to beat."""
        self.task = asyncio.create_task(self._run())

    def free(self):
        """Thousandths of a core that nothing uses."""
        return self.room["cpuUnits"] - sum(cpu for _, _, cpu in self.running.values())

    def document(self):
        """What it says in a beat."""
        self.sequence += 1
        return {
            "serviceName": SERVICE, "address": f"127.0.0.1:{9000 + self.number}", "zone": self.zone,
            "configVersion": "v1", "freeSlots": 8, "state": self.state, "coldRemainingMs": 0,
            "freeRoom": self.room, "labels": ["a", f"r1-{self.number // 3}"],
            "clockMs": int(time.monotonic() * 1000), "callSequence": self.sequence,
            "running": [[task, run, "", self._percent(begun, length)]
                        for (task, run), (begun, length, _) in self.running.items()],
            "endedAt": [[number, *end] for number, end in list(self.ended.items())[:500]],
        }

    @staticmethod
    def _percent(begun, length):
        return 0 if begun is None else int(100 * min(1, (time.monotonic() - begun) / max(length, 0.01)))

    async def _run(self):
        place = random.randrange(len(self.fleet.controls))
        while not self.over:
            address = self.address or self.fleet.controls[place % len(self.fleet.controls)]
            sent = time.monotonic()
            status, answer = await call(address, "POST", f"/api/Minions.Heartbeat/{self.identity}",
                                        self.document(), timeout=1.0)
            if status is None or not 200 <= status < 300:
                self.address, place = None, place + 1
                await asyncio.sleep(0.05)
                continue
            pause = 1.5  # heartbeatMs
            if isinstance(answer, dict):
                self.address = answer.get("heartbeatAddress", address)
                if "holdMs" in answer:
                    self._take(answer, sent)
                    pause = answer.get("retryAfterMs", 1500) / 1000
            self.soon.clear()
            try:
                async with asyncio.timeout(pause):
                    await self.soon.wait()
                await asyncio.sleep(0.05)
            except TimeoutError:
                pass

    def _lapse(self):
        if self.hold_until is not None and time.monotonic() >= self.hold_until:
            self.hold_until = None
            for key in list(self.running):
                self.end(key, "lapsed")

    def _take(self, answer, sent):
        fence = answer.get("fenceNumber", 0)
        if fence < self.fence:
            return
        self.fence = fence
        hold = min(answer["holdMs"], BOUNDS["holdMaxMs"]) / 1000
        self.hold_until = max(self.hold_until or 0, sent + hold)
        left = self.hold_until - time.monotonic()
        asyncio.get_running_loop().call_later(max(0.0, left) + 0.001, self._lapse)
        for number in [number for number in self.ended if number <= answer.get("lastSeen", 0)]:
            del self.ended[number]
        for task, run in answer.get("stop", ()):
            self.barred[task] = max(run, self.barred.get(task, 0))
            if (task, run) in self.running:
                self.end((task, run), "stopped")
        for task, run, text, _ in answer.get("start", ()):
            if (task, run) not in self.running:
                self._start((task, run), text)

    def _start(self, key, text):
        seconds, cpu, members = text.split()
        length, cpu, members = float(seconds), int(cpu), int(members)
        if key[1] <= self.barred.get(key[0], 0) or cpu > self.free():
            self._list(key, "refused")
            return
        self.running[key] = (None if members > 1 else time.monotonic(), length, cpu)
        self.starts.append((time.monotonic(), *key))
        self.record(f"worker {self.identity}: started {key[0]} run {key[1]}")
        loop = asyncio.get_running_loop()
        if members == 1:
            loop.call_later(length, self.end, key, self._how(key))
            return
        gang = self.fleet.gangs.setdefault((key[0].rpartition(".")[0], key[1]), {})
        gang[key[0]] = self
        loop.call_later(BOUNDS["gangWaitMs"] / 1000, self._alone, key, gang, members)
        if len(gang) == members:  # all are present: they begin, and end jointly
            for task, worker in gang.items():
                worker.running[(task, key[1])] = (time.monotonic(), length, cpu)
                loop.call_later(length, worker.end, (task, key[1]), self._how(key))

    def _how(self, key):
        return "failed" if key[0].split(".")[0] in self.failing_jobs else "done"

    def _alone(self, key, gang, members):
        if len(gang) < members:
            self.end(key, "alone")

    def end(self, key, how):
        """Ends a run, if it still runs, and the other members of its gang with it."""
        if self.running.pop(key, None) is None:
            return
        self._list(key, how)
        if how != "done":
            for task, worker in self.fleet.gangs.get((key[0].rpartition(".")[0], key[1]), {}).items():
                worker.end((task, key[1]), "broken")

    def _list(self, key, how):
        self.barred[key[0]] = max(key[1], self.barred.get(key[0], 0))
        self.end_count += 1
        self.ended[self.end_count] = [*key, how, ""]
        self.record(f"worker {self.identity}: {key[0]} run {key[1]} ended {how}")
        self.soon.set()

    def crash(self):
        """Ends at once and says nothing; a new life has another id."""
        self.over = True
        self.running = {}
        if self.task is not None:
            self.task.cancel()
        self.record(f"worker {self.identity}: ended, and all that ran on it")


def main(case, needs=120):
    """Runs a case, `case(record, trouble)` -> 0 or 1, and exits with its result; 2 if it could not run."""
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent)
    record(f"trouble: {trouble}")

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble), needs - 5)

    try:
        result = asyncio.run(run())
    except (TimeoutError, OSError, asyncio.CancelledError) as fault:
        record(f"the case could not run: {type(fault).__name__} {fault}")
        result = 2
    record(f"result: {result}")
    sys.exit(result)

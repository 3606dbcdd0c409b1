"""The messages of a soak's stand-ins: HTTP over real sockets, in the platform's format."""

import collections
import http.client
import json
import queue
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from .processes import ROOT

sys.path.insert(0, str(ROOT / "platform"))
try:
    import vocabulary
finally:
    sys.path.remove(str(ROOT / "platform"))

CALLS_AT_ONCE = 64
NO_ANSWER = 0  # the status of a call that was cut, timed out or reached nobody
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # a larger answer can't be taken, by the protocol
CUT_AFTER = 0.2  # seconds; a server that closes a connection later has read the request


class Request(NamedTuple):
    """One call; `host` is the Host header, "" for the address itself."""

    address: str
    method: str
    path: str
    document: dict | None
    host: str
    timeout: float  # seconds
    based_on: int = 0  # the version that a change of the configuration builds on
    key: str = ""  # of a tenant, "" for none
    leaves_after: float | None = None  # seconds; the caller doesn't wait for as long as it says


class Answered(NamedTuple):
    """A call's end: what it was sent for, its status or NO_ANSWER, and the document of the answer."""

    purpose: object
    status: int
    document: dict
    cut: "Cut | None" = None


class Cut(NamedTuple):
    """A connection that its server closed without a complete answer, although it had read the request."""

    address: str
    at: float  # seconds, by time.time()


class Connections:
    """Open connections by address. A connection is used again and again until its server closes it."""

    def __init__(self):
        self.lock = threading.Lock()
        self.idle = collections.defaultdict(list)

    def exchange(self, request):
        """(status, document, Cut or None) of one call on an open connection, or on a new one where none is
        idle.
        """
        with self.lock:
            idle = self.idle[request.address]
            connection = idle.pop() if idle else None
        if connection is None:
            connection = http.client.HTTPConnection(request.address)
        status, document, cut = exchange_on(connection, request)
        if status == NO_ANSWER or connection.sock is None:
            connection.close()
        else:
            with self.lock:
                self.idle[request.address].append(connection)
        return status, document, cut

    def close(self):
        for connections in self.idle.values():
            for connection in connections:
                connection.close()


class Caller:
    """Sends calls from threads of its own; answers wait in `answers` until they are taken."""

    def __init__(self):
        self.threads = ThreadPoolExecutor(CALLS_AT_ONCE)
        self.answers = queue.SimpleQueue()
        self.connections = Connections()

    def send(self, purpose, request):
        self.threads.submit(lambda: self.answers.put(Answered(purpose, *self.connections.exchange(request))))

    def taken(self):
        """The answers that have come since."""
        found = []
        while not self.answers.empty():
            found.append(self.answers.get())
        return found

    def close(self):
        self.threads.shutdown(wait=True, cancel_futures=True)
        self.connections.close()


def exchange(request):
    """(status, document) of one call on a connection of its own."""
    connection = http.client.HTTPConnection(request.address)
    try:
        return exchange_on(connection, request)[:2]
    finally:
        connection.close()


def exchange_on(connection, request):
    """(status, document, Cut or None) of one call on a connection, which is opened if it isn't open."""
    patience = request.timeout if request.leaves_after is None else request.leaves_after
    connection.timeout = patience
    begun = time.time()
    try:
        if connection.sock is not None:
            connection.sock.settimeout(patience)
        body = None if request.document is None else json.dumps(request.document)
        headers = {"Content-Type": "application/json"}
        if request.host:
            headers["Host"] = request.host
        if request.key:
            headers["Api-Key"] = request.key
        headers["X-Deadline-Remaining"] = str(int(request.timeout * 1000))
        if request.path == "/api/Configuration.Replace":
            headers["X-Based-On-Version"] = str(request.based_on)
        connection.request(request.method, request.path, body, headers)
        answer = connection.getresponse()
        body = answer.read()
        if len(body) > MAX_ANSWER_BYTES:
            return NO_ANSWER, {}, None
        content = json.loads(body or b"{}")
        return answer.status, content if isinstance(content, dict) else {}, None
    except (ConnectionResetError, http.client.RemoteDisconnected, http.client.IncompleteRead):
        now = time.time()
        return NO_ANSWER, {}, Cut(request.address, now) if now - begun > CUT_AFTER else None
    except (OSError, http.client.HTTPException, ValueError):
        return NO_ANSWER, {}, None


def heartbeat_of(document):
    """A stand-in worker's heartbeat in the platform's format."""
    words = {ours: name for name, ours in vocabulary.HEARTBEAT.items()}
    content = {words[field]: document[field] for field in words}
    cpu, memory, accelerators = document["room"]
    content.update(
        configVersion="v1",
        freeSlots=8,
        coldRemainingMs=0,
        freeRoom={"cpuUnits": cpu, "taskMemoryMb": memory, "gpuCount": accelerators},
        labels=document["labels"],
        running=document["running"],
        endedAt=document["ended"],
    )
    if document["leaves_ms"] is not None:
        content["leavesAtMs"] = document["leaves_ms"]
    return content


def orders_of(content):
    """The answer to a heartbeat as the stand-in worker reads it."""
    names = {
        "holdMs": "hold_ms",
        "lastSeen": "seen",
        "fenceNumber": "fence",
        "start": "start",
        "stop": "stop",
        "retryAfterMs": "again_ms",
        "heartbeatAddress": "home",
    }
    return {ours: content[name] for name, ours in names.items() if name in content}


def job_of(document):
    """A job in the platform's format."""
    return vocabulary.to_platform(document, vocabulary.JOB)


def configuration_of(document):
    """A configuration in the platform's format."""
    return vocabulary.to_platform(document, vocabulary.CONFIGURATION)

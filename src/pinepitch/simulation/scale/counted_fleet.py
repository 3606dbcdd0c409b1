"""A fleet of real daemons whose frames, processor time and memory are counted."""

import json
import os

from prometheus_client.parser import text_string_to_metric_families

from ...common.daemon_settings import split
from ...transport import http_client
from ..fleet.processes import Fleet

TICKS = os.sysconf("SC_CLK_TCK")


# A daemon's own program, with its frames counted by kind into a file.
COUNTING = """
import json, os, threading, time
from pinepitch.transport import framing
from pinepitch.{package}.program import main
counts, encode, decode = {{"in": {{}}, "out": {{}}}}, framing.encode, framing.decode
def note(way, size, message):
    kind = message[0]
    if kind == "raft":
        kind += " " + message[4][0]
    elif kind == "ask":
        kind += " " + message[3]
    one = counts[way].setdefault(kind, [0, 0])
    one[0] += 1
    one[1] += size
def counted_encode(source, message):
    frame = encode(source, message)
    note("out", len(frame), message)
    return frame
def counted_decode(body):
    frame = decode(body)
    if not isinstance(frame, framing.InvalidFrame):
        note("in", len(body) + 4, frame[1])
    return frame
def tell():
    while True:
        time.sleep(0.2)
        with open({path!r} + ".aside", "w") as file:
            json.dump({{way: dict(kinds) for way, kinds in counts.items()}}, file)
        os.replace({path!r} + ".aside", {path!r})
framing.encode, framing.decode = counted_encode, counted_decode
threading.Thread(target=tell, daemon=True).start()
main()
"""


class CountedFleet(Fleet):
    """A fleet whose daemons count their frames."""

    def start(self, name, *command):
        """Starts a process that counts its frames."""
        package = "control" if name.startswith("accord") else "front"
        code = COUNTING.format(package=package, path=os.path.join(self.folder, f"{name}.counts"))
        super().start(name, code, *command[1:])

    def spent(self, name):
        """(processor seconds, bytes resident, bytes written to disk) of a daemon so far."""
        number = self.processes[name].pid
        with open(f"/proc/{number}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        with open(f"/proc/{number}/status") as file:
            resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
        with open(f"/proc/{number}/io") as file:
            written = next(int(line.split()[1]) for line in file if line.startswith("wchar"))
        return (int(fields[11]) + int(fields[12])) / TICKS, resident * 1024, written

    def frames(self, name):
        """{way: {kind: [messages, bytes]}} of a daemon so far."""
        with open(os.path.join(self.folder, f"{name}.counts")) as file:
            return json.load(file)

    def given_up(self):
        """{why: how often} leadership was given up so far."""
        counts = {}
        for place in range(len(self.control_daemons)):
            with open(os.path.join(self.folder, f"accord{place}.log")) as file:
                for line in file:
                    event = json.loads(line) if line.startswith("{") else {}
                    if event.get("number") == 123:
                        counts[event["why"]] = counts.get(event["why"], 0) + 1
        return counts

    async def metrics(self, place):
        """A control daemon's own counters and gauges by name."""
        client = http_client.Client(*split(self.own[place]))
        text = (await client.call("GET", "/v1/metrics")).document
        await client.close()
        return {
            one.name: one.value
            for family in text_string_to_metric_families(text)
            for one in family.samples
            if not one.labels
        }

"""HTTP calls to the front daemons of a simulated cluster, by stand-in clients, workers and an operator."""

import json

from . import stand_in_client
from .machines import START

ANSWER_TIMEOUT = 5.0  # seconds a stand-in caller waits


class ClientCalls:
    """The calling side of a Simulator. Invariant: a call is in `requests` until it has its answer."""

    def call(
        self, source, incarnation, draw, method, target, document, tag, timeout=ANSWER_TIMEOUT, headers=None
    ):
        """An HTTP call at some front daemon; its answer goes back by tag."""
        fronts = [node for node in self.nodes.values() if node.kind == "verge"]
        node = fronts[draw % len(fronts)]
        self.request_count += 1
        number = self.request_count
        self.requests[number] = ("call", source, incarnation, tag, node.name)
        if node.core is None or self.lost(source, node.name):
            self.at(0.05, "answer", number, 0, "null")
            return
        body = b"" if document is None else json.dumps(document).encode()
        self.at(
            self.latency(),
            "give",
            node.name,
            node.incarnation,
            ("http", number, method, target, headers or {}, body),
        )
        self.at(timeout, "answer", number, 0, "null")

    def _answer(self, request, status, text):
        waiting = self.requests.pop(request, None)
        if waiting is None:
            return
        _, source, incarnation, tag, front = waiting
        if status and (front, source) in self.partitions:
            status, text = 0, "null"
        document = json.loads(text)
        kind = tag[0]
        if kind == "report":
            node = self.nodes[source]
            if node.incarnation == incarnation:
                self.give(node, ("reported", status, document))
        elif kind == "caller":
            _, name, call = tag
            self._send_client_calls(
                name, self.callers[name].step(("answered", call, status, document), START + self.now)
            )
        elif kind == "told":
            tag[1](status, document)
        else:
            tag[1].append((START + self.now, status, document))

    def _expire(self, request):
        if request in self.requests:
            self._posted(request, "unknown")

    def caller(self, name, traffic, rate=1.0, fail=0.03, cancels=0.0):
        """Adds a stand-in caller that begins now."""
        self.callers[name] = stand_in_client.StandInClient(
            name, traffic, self.seed, rate, fail, cancels=cancels
        )
        self.at(0.0, "caller", name)

    def _caller(self, name):
        one = self.callers[name]
        self._send_client_calls(name, one.step(("tick",), START + self.now))
        self.at(0.05, "caller", name)

    def _send_client_calls(self, name, effects):
        for _, call, draw, method, target, document in effects:
            self.call(name, 0, draw, method, target, document, ("caller", name, call))

    def ask(self, method, target, document=None, headers=None, front=0, seconds=8.0):
        """An operator's call, run to its answer: (status, document)."""
        got = []
        self.call("operator", 0, front, method, target, document, ("plain", got), headers=headers)
        self.until(lambda: got, seconds, 0.02)
        return got[0][1:] if got else (0, None)

    def persist(self, method, target, document=None, headers=None, seconds=30.0):
        """An operator who tries again, at other front daemons, until answered other than 0 or 503."""
        begun, front = self.now, 0
        while self.now - begun < seconds:
            status, answer = self.ask(method, target, document, headers, front)
            if status not in (0, 429, 503):
                return status, answer
            front += 1
            self.run(0.2)
        return 0, None

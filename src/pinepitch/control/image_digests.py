"""Members compare the digests of their images, because replicas at one index must contain the same bytes.

Each member records the digest of every image that it encodes and of each snapshot that it installs. A member
that does not lead asks the leader for its digests once it has a new one, and logs event 135 if two digests of
one index differ. All members make images at the same indexes (control/consensus_driver.py), so that most can
be compared. An installed snapshot is compared with its sender's digest only, because an earlier version
encodes the same state to other bytes. A leader of an earlier version does not know the request and refuses
it; then nothing is compared.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import constants
from ..transport.request_key import key_of

if TYPE_CHECKING:
    from .daemon import ControlDaemon

CALL = "image-digests"
ATTEMPT = 1  # of each request; a request is never sent again under its token


class UncomparedDigest(NamedTuple):
    """A digest that was not yet compared with the leader's."""

    digest: str
    sender: str | None  # identity of the snapshot's sender; None for an image encoded here
    asked: int  # how often the leader had no digest of that index


class ImageDigests:
    """Invariants: `own_digests` contains the digests of the newest DIGESTS_KEPT images by index, and
    `uncompared` those that are still to be compared; one request at a time is pending.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.own_digests: dict[int, str] = {}  # index -> digest
        self.uncompared: dict[int, UncomparedDigest] = {}  # by index
        self.token: str | None = None  # of the pending request
        self.asked_leader: str | None = None  # identity of the leader that was asked last
        self.asked_at = -1e9  # seconds of the steady clock
        self.count = 0  # of requests so far
        self.compared = self.differences = 0  # images compared or found different in this incarnation

    def add_encoded(self, index: int, digest: str) -> None:
        """Records an image that was encoded here."""
        self.own_digests[index] = digest
        self.uncompared[index] = UncomparedDigest(digest, None, 0)
        self._forget_oldest()

    def add_installed(self, index: int, digest: str, sender: str | None) -> None:
        """Records a snapshot that was installed; it is compared with its sender's digest only."""
        self.uncompared[index] = UncomparedDigest(digest, sender, 0)
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        for digests in (self.own_digests, self.uncompared):
            for index in sorted(digests)[: -constants.DIGESTS_KEPT]:
                del digests[index]

    def tick(self, now: float) -> None:
        """Asks the leader for its digests, at intervals while some are to be compared."""
        if not self.uncompared or now - self.asked_at < constants.DIGEST_ASK_EVERY:
            return
        consensus = self.daemon.consensus
        if consensus.role == "leader":
            self.uncompared.clear()  # the others compare theirs with these
            return
        address = self.daemon.leader_address()
        end = self.daemon.leader_clock.end(now + constants.FORWARD_TIMEOUT, now)
        if address is None or end is None:
            return
        self.asked_at, self.asked_leader = now, consensus.current_leader
        self.count += 1
        self.token = f"{self.daemon.forwarder.incarnation}~digests~{self.count}"
        self.daemon.send(address, ("ask", self.daemon.address, self.token, CALL, (), ATTEMPT, end))

    def take_answer(self, token: str, answer: tuple[Any, ...], key: tuple[Any, ...]) -> bool:
        """Processes the leader's answer; returns False for an answer to another request."""
        if token != self.token or tuple(key) != key_of(CALL, ()):
            return False
        self.token = None
        status, document, _ = answer
        if status == 200:
            self._compare(dict(document["digests"]))
        return True

    def _compare(self, digests: Mapping[int, str]) -> None:
        """Compares the remaining digests with the leader's, by index."""
        for index, uncompared in list(self.uncompared.items()):
            if uncompared.sender not in (None, self.asked_leader):
                del self.uncompared[index]
            elif index in digests:
                del self.uncompared[index]
                self.compared += 1
                if digests[index] != uncompared.digest:
                    self._report_difference(index, uncompared.digest, digests[index])
            elif uncompared.asked + 1 >= constants.DIGEST_ASKS:
                del self.uncompared[index]
            else:
                self.uncompared[index] = uncompared._replace(asked=uncompared.asked + 1)

    def _report_difference(self, index: int, own: str, leaders: str) -> None:
        self.differences += 1
        self.daemon.event(135, index=index, digest=own, leader=self.asked_leader, leader_digest=leaders)

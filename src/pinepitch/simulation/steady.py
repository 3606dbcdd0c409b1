"""A steady stream of large changes while one member after the other is killed or wiped.

Run by hand: python -m pinepitch.simulation.steady FIRST_SEED SEEDS MINUTES
"""

import random
import sys
from typing import NamedTuple

from ..common.limits import Limits
from .changes import BODY, ControlCluster
from .link_rates import LinkRates

EVERY = 0.33  # seconds between two changes
LINK = 50e6 / 8  # bytes a second
BACK_WITHIN = 60.0  # seconds; after this a member counts as never back
AWAY = (1.0, 15.0)  # seconds; that a member is away
BETWEEN = (1.0, 6.0)  # seconds; from one being back to the next loss


class Loss(NamedTuple):
    """One member's loss. `began` is when it started again, None while it is away."""

    name: str
    wiped: bool
    until: float
    began: float | None


class Day(ControlCluster):
    """Invariants: one member at most is lost at a time; back holds (whether wiped, seconds until
    it lacked two entries at most and was a member) of each that came back.
    """

    def __init__(self, seed, size=BODY // 2):
        super().__init__(seed, limits=Limits(296_000_000, 128_000_000), size=size)
        self.link_rates = LinkRates(LINK)
        self.losses = random.Random(f"losses-{seed}")
        self.loss_now, self.next_at = None, 5.0
        self.back, self.never_back = [], []
        self.waited = 0.0  # seconds; the longest without any acknowledgement

    def run_day(self, seconds):
        """Changes for so long, then a while for the last to be answered."""
        self.begin()
        end = self.now + seconds
        acknowledged_count, acknowledged_at = 0, self.now
        while self.now < end and not self.never_back:
            self.change()
            self.run(EVERY)
            self.maxima.look(self)
            self._lose()
            if len(self.acknowledged) > acknowledged_count:
                self.waited = max(self.waited, self.now - acknowledged_at)
                acknowledged_count, acknowledged_at = len(self.acknowledged), self.now
        self.run(5.0)
        return self

    def _lose(self):
        """Kills, starts or looks after the member whose turn it is."""
        loss = self.loss_now
        if loss is None:
            if self.now > self.next_at:
                name, wiped = self.losses.choice(sorted(self.nodes)), self.losses.random() < 0.5
                self.kill(name)
                self.loss_now = Loss(name, wiped, self.now + self.losses.uniform(*AWAY), None)
        elif loss.began is None:
            if self.now > loss.until:
                if loss.wiped:
                    self.wipe(loss.name)
                self.start(loss.name)
                self.loss_now = loss._replace(began=self.now)
        elif self._is_back(loss.name):
            self.back.append((loss.wiped, self.now - loss.began))
            self.loss_now, self.next_at = None, self.now + self.losses.uniform(*BETWEEN)
        elif self.now - loss.began > BACK_WITHIN:
            self.never_back.append(loss)

    def _is_back(self, name):
        """Whether a member lacks two entries at most and has its vote."""
        lacks, leader, core = self.lacks(name), self.leader(), self.nodes[name].core
        if lacks is None or lacks > 2:
            return False
        return core.identity in leader.core.consensus.membership.members()

    def faults(self):
        """What the operators and the history checks find."""
        return [*super().faults(), *(f"{loss.name} never came back" for loss in self.never_back)]


def main(first="1", seeds="3", minutes="3"):
    """Days of such changes, one a seed."""
    for seed in range(int(first), int(first) + int(seeds)):
        day = Day(seed).run_day(float(minutes) * 60)
        times = {wiped: [f"{took:.1f}" for was, took in day.back if was == wiped] for wiped in (False, True)}
        print(
            f"seed {seed}: {len(day.acknowledged)} of {day.version} changes acknowledged, "
            f"{len(day.back)} losses; back after s: killed {' '.join(times[False])}, "
            f"wiped {' '.join(times[True])}; longest wait for an acknowledgement {day.waited:.1f} s; "
            f"log at most {day.maxima.log} bytes, folder {day.maxima.disk}; faults {day.faults()}",
            flush=True,
        )


if __name__ == "__main__":
    main(*sys.argv[1:])

"""Second losses: what is tried around replacements of voters, each trial replayed by its name and seed.

Every trial loses no more at once than a fleet of its size may, but where it says otherwise; then service
must go on. Where more is lost, nothing acknowledged may be, and service must be back once it is back.
"""

import contextlib
import itertools
import sys
from unittest import mock

from ..common import constants
from ..common.effects import SaveChange, WriteBase
from ..consensus import replica
from ..consensus.quorum import Membership
from ..consensus.replica import Consensus
from ..control import membership
from ..control.bootstrap import Bootstrap, cluster_identity
from ..control.daemon import ControlDaemon
from . import injected_faults, simulator
from .second_loss_trial import RECOVERS_WITHIN, LossTrial
from .simulator import GRACE

HANDED_WITHIN = 0.1  # seconds; without a leader while one hands over, on the slowest disk
STOPPED_WITHIN = 0.5  # seconds; until a process without an heir for its seat has ended
WHILE = 1.5  # seconds; that a second loss lasts where it is one too many
SERVED_ON = 2.5  # seconds; in which a change is taken while no more is lost than may be
OTHER_ZONES = (  # areas and mode of fleets that have no voter left in the area of a lost one, or one
    (("a", "b", "c"), "static"),
    (("a", "a", "b", "c", "c"), "static"),
    (("a", "b", "c"), "single"),
)
JOINT, COMMITTED, DONE = 130, 131, 132  # events of a change of members
CONSENT, LEADER, INSTALLED = 111, 122, 127
SNAPSHOTS_SOON = {"SNAPSHOT_ENTRIES": 20, "SNAPSHOT_TAIL": 5, "SNAPSHOT_CHUNK": 300}
CHANGES = 20  # changes before a replacement, so that a newcomer is sent a snapshot by then
STRUCK = ("leader", "newcomer", "other")
SNAPSHOT_STEPS = (("piece", 1), ("piece", 2), ("piece", 4), (INSTALLED, 1))  # what comes, how often


def begun(seed, control_daemons=("a", "b", "c"), slow=True, mode="static"):
    """A fleet that serves and has taken some changes."""
    trial = LossTrial(seed, control_daemons, slow, mode=mode)
    trial.begin()
    trial.run(2 + 0.013 * seed)
    for _ in range(3):
        trial.change()
    return trial


def with_spare(seed, zone, control_daemons=("a", "b", "c"), mode="static"):
    """(fleet, spare): such a fleet with a machine that follows the log in an area that has its voter."""
    trial = begun(seed, control_daemons, mode=mode)
    spare = trial.fresh("spare", zone)

    def follows():
        leader = trial.leader()
        return leader is not None and leader.core.consensus.caught_up(spare.core.identity)

    if trial.until(follows, RECOVERS_WITHIN) is None:
        trial.fault("the spare never followed the log")
    return trial, spare


def _votes_within(trial, node, seconds):
    """Notes a fault unless that machine's accord votes soon, by a list that is settled."""
    if not trial.votes(node) and trial.until(lambda: trial.votes(node), seconds, 0.005) is None:
        trial.fault(f"{node.name} does not vote {seconds:.0f} s on; the voters are {trial.voters()}")


def _followers(trial):
    return [node for node in trial.control_nodes() if node is not trial.leader() and node.core is not None]


# --- planned ends ------------------------------------------------------------------------
def leader_stops(seed):
    """A leader stops: soon a successor serves, and the old one's lease is over before that."""
    trial = begun(seed)
    leader = trial.leader()
    trial.stop(leader.name)
    took = trial.served(RECOVERS_WITHIN, but=leader.name)
    if took is None or took > HANDED_WITHIN:
        trial.fault(f"without a leader for {took} s")
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def leader_stops_partitioned(seed):
    """A leader stops and is cut off just as it hands over: it must not go on beside its successor."""
    trial = begun(seed)
    leader = trial.leader()
    rest = [one for one in trial.nodes if one != leader.name]
    trial.on(121, lambda node: trial.partition([leader.name], rest))
    trial.stop(leader.name)
    trial.run(2)
    trial.check_recovery()
    return trial


def seat_handed_on(seed):
    """A voter stops beside a spare of its area: the spare votes before the process ends, and the loss of
    another voter right then stops nothing."""
    zone = "abc"[seed % 3]
    trial, spare = with_spare(seed, zone)
    node = next(one for one in trial.control_nodes() if one.zone == zone and one is not spare)
    trial.stop(node.name)
    took = trial.until(lambda: node.core is None, GRACE, 0.005)
    if took is None or not trial.votes(spare) or len(trial.voters()) != 3:
        trial.fault(f"the process ended after {took} s and the voters are {trial.voters()}")
    other = next(one for one in trial.control_nodes() if one not in (node, spare) and one.core is not None)
    trial.kill(other.name)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def rolling_restart(seed):
    """Each machine in turn stops and comes back with its disk; without a spare that may have it, be it in
    another area, no seat changes hands."""
    trial = begun(seed) if seed % 2 == 0 else with_spare(seed, "b", mode="single")[0]
    before, changes = trial.voters(), trial.event_count(JOINT)
    for node in [one for one in trial.control_nodes() if one.zone in "ac"]:
        trial.stop(node.name)
        took = trial.until(lambda node=node: node.core is None, GRACE, 0.005)
        if took is None or took > STOPPED_WITHIN:
            trial.fault(f"{node.name} ended after {took} s")
        trial.run(0.3)
        trial.start(node.name)
        trial.run(2)
    if trial.voters() != before or trial.event_count(JOINT) != changes:
        trial.fault(f"the voters were {before} and are {trial.voters()}")
    trial.check_recovery()
    return trial


# --- replacements ------------------------------------------------------------------------
def _replace(trial, name, fresh):
    """A machine is gone for good just when its successor starts."""
    zone = trial.nodes[name].zone
    trial.retire(name)
    return trial.fresh(fresh, zone)


def replaced_in_time(seed):
    """A machine is gone for good and its successor starts at once: once it has had its time to catch up,
    another loss stops nothing."""
    trial = begun(seed)
    node = trial.leader() if seed % 2 else _followers(trial)[0]
    fresh = _replace(trial, node.name, "fresh")
    trial.run(constants.CATCH_UP)
    if not trial.votes(fresh):
        trial.fault(f"the successor does not vote {constants.CATCH_UP} s after its start")
    trial.kill(next(one for one in trial.control_nodes() if one is not fresh and one.core is not None).name)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def replaced_in_other_zone(seed):
    """A machine is gone for good and its successor starts in another area, which has its voter: once it
    has had its time, another loss stops nothing; a machine of the lost area then votes again."""
    fleet, mode = OTHER_ZONES[seed % len(OTHER_ZONES)]
    trial = begun(seed, fleet, mode=mode)
    node = next(one for one in trial.control_nodes() if one.zone == "a")
    trial.retire(node.name)
    fresh = trial.fresh("fresh", "b")
    trial.run(constants.CATCH_UP)
    _votes_within(trial, fresh, 0.0)
    other = next(one for one in trial.control_nodes() if one.zone in "bc"[seed // 3 % 2] and one is not fresh)
    trial.kill(other.name)
    trial.change(SERVED_ON)
    trial.start(other.name)
    if len(fleet) == 3:
        back = trial.fresh("back", "a")
        _votes_within(trial, back, constants.CATCH_UP)
    trial.check_recovery()
    return trial


def replacement_replaced(seed):
    """A successor is gone for good as soon as it votes, and so is its own."""
    trial = begun(seed)
    fresh = _replace(trial, _followers(trial)[0].name, "fresh0")
    for turn in range(1, 4):
        _votes_within(trial, fresh, constants.CATCH_UP)
        fresh = _replace(trial, fresh.name, f"fresh{turn}")
        trial.change(SERVED_ON)
    trial.run(constants.CATCH_UP)
    trial.check_recovery()
    if len(trial.voters()) != 3 or not trial.votes(fresh):
        trial.fault(f"the voters are {trial.voters()}")
    return trial


def newcomer_partitioned(seed):
    """A newcomer is cut off as soon as it votes: the others serve on."""
    trial = begun(seed)
    rest = list(trial.nodes)
    fresh = _replace(trial, _followers(trial)[0].name, "fresh")
    trial.on((COMMITTED, DONE)[seed % 2], lambda node: trial.partition([fresh.name], rest))
    trial.until(lambda: trial.partitions, RECOVERS_WITHIN)
    trial.change(SERVED_ON)
    trial.run(3)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def spare_lost_too(seed):
    """A voter and the spare that was to replace it are lost at once; the others serve on, and one that
    comes back empty votes again."""
    trial, spare = with_spare(seed, "b")
    node = next(one for one in trial.control_nodes() if one.zone == "b" and one is not spare)
    trial.kill(node.name)
    trial.kill(spare.name)
    trial.change(SERVED_ON)
    trial.wipe(node.name)
    trial.start(node.name)
    _votes_within(trial, node, constants.CATCH_UP)
    trial.check_recovery()
    return trial


def zone_lost_beside(seed):
    """An area is lost in the middle of a planned replacement in another: the others serve on."""
    trial, _ = with_spare(seed, "a", ("a", "b", "c", "d"))
    node = next(one for one in trial.control_nodes() if one.zone == "a")
    lost = [one for one in trial.control_nodes() if one.zone == "b" and one is not trial.leader()] or [
        one for one in trial.control_nodes() if one.zone == "c"
    ]
    trial.on((JOINT, COMMITTED, DONE)[seed % 3], lambda _: [trial.kill(one.name) for one in lost])
    trial.stop(node.name)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def wiped_twice(seed):
    """A machine loses its disk, and loses it again in each step of its own return."""
    trial = begun(seed)
    node = _followers(trial)[0]

    def wipe(_=None):
        trial.kill(node.name)
        trial.wipe(node.name)
        trial.again(node.name, 0.1)

    wipe()
    for step in (JOINT, COMMITTED, DONE):
        trial.on(step, wipe)
        trial.until(lambda: not trial.hooks, RECOVERS_WITHIN, 0.005)
        trial.change()
    if trial.until(lambda: trial.votes(node), RECOVERS_WITHIN) is None or len(trial.voters()) != 3:
        trial.fault(f"the voters are {trial.voters()}")
    trial.check_recovery()
    return trial


# --- one loss too many, in every step of a change -----------------------------------------
def _victim(trial, kind, newcomer):
    leader = trial.leader()
    if kind == "leader":
        return leader
    if kind == "newcomer":
        return newcomer
    return next(
        one for one in trial.control_nodes() if one not in (leader, newcomer) and one.core is not None
    )


def _lost_for_a_while(trial, node):
    trial.lose_power(node.name)
    trial.again(node.name, WHILE)


def _striker(trial, kind, newcomer):
    """What takes the power from one machine for a while once it is called."""
    return lambda _: _lost_for_a_while(trial, _victim(trial, kind, newcomer))


def _replacement_struck(seed, step, count, kind, changes):
    """A replacement in which one machine loses power for a while as the step comes the count-th time."""
    trial = begun(seed)
    for _ in range(changes):
        trial.change()
    fresh = _replace(trial, _followers(trial)[0].name, "fresh")
    trial.on(step, _striker(trial, kind, fresh), count)
    for _ in range(3):
        trial.change()
    _votes_within(trial, fresh, RECOVERS_WITHIN)
    trial.check_recovery()
    if not trial.votes(fresh) or len(trial.voters()) != 3:
        trial.fault(f"the voters are {trial.voters()}")
    if trial.hooks:
        trial.fault("the step to strike at never came")
    if trial.faults:
        trial.faults.insert(0, f"struck: {kind} at {step}, {count}")
    return trial


def _first_faulty(trials):
    """The first of some trials that finds a fault, else the last."""
    for trial in trials:
        if trial.faults:
            break
    return trial


def change_struck(seed):
    """In each step of a change of members the leader, the newcomer or another voter loses power for a
    while: one too many. Nothing acknowledged is lost, and the change ends."""
    steps = itertools.product((JOINT, COMMITTED, DONE), STRUCK)
    return _first_faulty(_replacement_struck(seed, step, 1, kind, 0) for step, kind in steps)


def snapshot_struck(seed):
    """While a snapshot is sent and as it is installed, its sender, its receiver or another voter loses
    power for a while: one too many."""
    with mock.patch.multiple(constants, **SNAPSHOTS_SOON):
        steps = itertools.product(SNAPSHOT_STEPS, STRUCK)
        return _first_faulty(_replacement_struck(seed, *step, kind, CHANGES) for step, kind in steps)


def founding_struck(seed):
    """In each step of a founding by three of four machines one that takes it loses power for a while."""
    for step, count in ((CONSENT, 1), (CONSENT, 2), (CONSENT, 3), (LEADER, 1)):
        trial = LossTrial(seed, ("a", "b", "c", "d"), slow=True, founders=3)
        trial.on(step, lambda node, trial=trial: _lost_for_a_while(trial, node), count)
        trial.begin()
        trial.run(WHILE)
        clusters = {node.core.cluster for node in trial.control_nodes() if node.core is not None}
        if len(clusters) != 1 or len(trial.voters()) < 3:
            trial.fault(f"cohorts {clusters}, voters {trial.voters()}")
        trial.check_recovery()
        if trial.faults:
            trial.faults.insert(0, f"struck at {step}, {count}")
            return trial
    return trial


def only_copy_leaves(seed):
    """A leader that alone holds what it was told last stops beside a spare of its area: others are slow
    or stalled, and no list counts as agreed on before all earlier entries lie on quorums of both."""
    trial, spare = with_spare(seed, "a")
    for node in trial.control_nodes():
        if node is not trial.leader():
            node.disk.slow = trial.draw.choice((20.0, 60.0, 120.0))
    stalled = trial.draw.choice(_followers(trial))
    stalled.disk.stalled = True
    got = []
    for limit in range(5):
        patch = {"queues": {"default": {"limit": 1060 + limit}}}
        trial.call(
            "operator", 0, limit, "PATCH", "/v1/setup", patch, ("plain", got), headers={"if-match": "*"}
        )
    trial.run(0.02)
    leader = trial.leader()
    trial.stop(leader.name)
    trial.run(GRACE)
    stalled.disk.stalled = False
    for node in trial.control_nodes():
        node.disk.slow = trial.slow
    trial.wipe(leader.name)
    for _, status, answer in got:
        if status == 200:
            limit = trial.persist("GET", f"/v1/setup/versions/{answer['version']}", seconds=RECOVERS_WITHIN)
            if limit[0] != 200:
                trial.fault(f"version {answer['version']} was acknowledged and is gone")
    trial.check_recovery()
    return trial


# The registry of trials.
TRIALS = {
    "leader-stops": leader_stops,
    "leader-stops-cut-off": leader_stops_partitioned,
    "seat-handed-on": seat_handed_on,
    "rolling-restart": rolling_restart,
    "replaced-in-time": replaced_in_time,
    "replaced-elsewhere": replaced_in_other_zone,
    "replacement-replaced": replacement_replaced,
    "newcomer-cut-off": newcomer_partitioned,
    "spare-lost-too": spare_lost_too,
    "area-lost-beside": zone_lost_beside,
    "wiped-twice": wiped_twice,
    "change-struck": change_struck,
    "snapshot-struck": snapshot_struck,
    "founding-struck": founding_struck,
    "only-copy-leaves": only_copy_leaves,
}


def run(name, seed, injected_fault=""):
    """The faults of one trial, with a planted fault if one is named."""
    with planted(injected_fault):
        try:
            return TRIALS[name](seed).faults
        except AssertionError as broken:
            return [f"ended by: {broken}"]


# --- planted faults ------------------------------------------------------------------------
def _serves_on(self, now):
    """Names a successor and goes on serving under its lease."""
    follower = self.followers.get(self.handover.target)
    if follower is not None and follower.match >= self.last_index() <= self.commit:
        self._send(self.handover.target, ("handover", self.term, {}), self.hard_sequence)
        self.handover = None


def _stands_down(self, candidates, now):
    """Gives leadership up without a successor."""
    if self.role == "leader":
        self._follow(self.term, now, "stopping")
    return self._done(now)


def _old_list_alone(self, identities, leader):
    """Takes the old list's word for both."""
    return self.now.commits(identities, leader)


def _shrinks(self, members, live, now):
    """Takes a stopping voter off the list, spare or no spare."""
    for leaver in self.leaving:
        if leaver in members:
            return {one: zone for one, zone in members.items() if one != leaver}
    return original_wanted(self, members, live, now)


def _any_heir(quorum, leaver, spares, live):
    """Gives a stopping voter's seat to whatever spare there is."""
    return min(spares, default=None)


def _no_heir(quorum, leaver, spares, live):
    return None


def _counts_at_once(self, sender, term, success, index, beat, now):
    """Takes an append that was sent for one that is held."""
    follower = self.followers.get(sender)
    if self.role == "leader" and term == self.term and follower is not None:
        original_appended(self, sender, term, True, self.last_index(), beat, now)


def _founds_at_sight(self, now):
    """Consents to whatever list it sees first, whatever the others see."""
    view = self.view(now)
    if len(view) < self.bootstrap_size or self.veto(now):
        return None
    members = {one: self.empty_daemons[one][0] for one in view}
    return cluster_identity(members), members


def _early_base(self, node, sequence, payload):
    """Tells a snapshot that came durable before it is."""
    original_base(self, node, sequence, payload)
    if sequence is not None:
        self.at(0.0, "give", node.name, node.incarnation, ("saved", sequence))


original_base = simulator.Simulator._base
original_wanted = ControlDaemon._wanted_members
original_appended = Consensus._on_appended
INJECTED_FAULTS = {
    "serves-on": [(Consensus, "_try_handover", _serves_on)],
    "no-successor": [(Consensus, "transfer_leadership", _stands_down)],
    "old-list-alone": [(Membership, "commits", _old_list_alone)],
    "no-heir": [(membership, "successor", _no_heir)],
    "seat-dropped": [(ControlDaemon, "_wanted_members", _shrinks)],
    "any-heir": [(membership, "successor", _any_heir)],
    "never-spread": [(ControlDaemon, "_spread_zones", lambda *_: None)],
    "area-alone": [(membership, "gains", lambda *_: False)],
    "slow-replacement": [(membership.Budget, "replace_after", lambda self: 4.5)],
    "snapshot-too-soon": [(simulator.Simulator, "_base", _early_base)],
    "held-too-soon": [(simulator.Simulator, "_save", injected_faults._early_saved)],
    "counted-too-soon": [(Consensus, "_on_appended", _counts_at_once)],
    "founds-at-sight": [(Bootstrap, "ready", _founds_at_sight)],
}


@contextlib.contextmanager
def planted(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        stack.enter_context(mock.patch.dict(replica.HANDLERS, {"appended": Consensus._on_appended}))
        effects = {SaveChange: simulator.Simulator._save, WriteBase: simulator.Simulator._base}
        stack.enter_context(mock.patch.dict(simulator.EFFECTS, effects))
        yield


def main(names="all", first="0", seeds="5", injected_fault=""):
    """Runs trials over seeds; prints the faults of each that fails."""
    failed = 0
    for name in TRIALS if names == "all" else names.split(","):
        for seed in range(int(first), int(first) + int(seeds)):
            faults = run(name, seed, injected_fault)
            failed += bool(faults)
            for fault in faults[:3]:
                print(
                    f"python -m pinepitch.simulation.second_loss {name} {seed} 1 {injected_fault}: {fault}",
                    flush=True,
                )
    print(f"{failed} trials failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))

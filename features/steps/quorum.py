"""Steps for Quorum: every quorum of small fleets, listed and crossed."""

import itertools
import random

from behave import given, then, when

from pinepitch.consensus.quorum import Membership, Quorum, Reply
from pinepitch.simulation.fleet.plans import PLANS


def spreads(daemon_count, zones):
    found = set()
    for count in range(1, daemon_count + 1):
        for choice in itertools.product(range(zones), repeat=count):
            found.add(tuple(sorted(choice)))
    return [
        {f"m{place}": f"a{zone}" for place, zone in enumerate(distribution)} for distribution in sorted(found)
    ]


def subsets(members):
    names = sorted(members)
    for size in range(len(names) + 1):
        yield from (frozenset(one) for one in itertools.combinations(names, size))


def elected_by(quorum, names):
    replies = {one: Reply(True, None, 0, {}) for one in names}
    return quorum.elects(replies, 1, None, 0).satisfied


def minimal(sets):
    return [one for one in sets if not any(other < one for other in sets)]


def commit_sets(quorum):
    return minimal([one for one in subsets(quorum.members) if quorum.commits(one, sorted(quorum.members)[0])])


def elect_sets(quorum):
    return minimal([one for one in subsets(quorum.members) if elected_by(quorum, one)])


@given("every way to spread 1 to {daemon_count:d} control daemons over 1 to {zones:d} zones")
def step_spreads(context, daemon_count, zones):
    context.spreads = spreads(daemon_count, zones)


@when("every commit and election quorum in {mode} mode is listed")
def step_list(context, mode):
    context.listed = []
    for members in context.spreads:
        quorum = Quorum(members, mode)
        context.listed.append((members, commit_sets(quorum), elect_sets(quorum)))


@then("each commit quorum meets each election quorum")
def step_meet(context):
    assert len(context.listed) > 50
    for members, commits, elects in context.listed:
        assert commits and elects, members
        for one in commits:
            for other in elects:
                assert one & other, (members, one, other)


@then("any two election quorums meet")
def step_elections_meet(context):
    for members, _, elects in context.listed:
        for one, other in itertools.combinations(elects, 2):
            assert one & other, (members, one, other)


@then("of five control daemons any two may go, of three any one")
def step_may_go(context):
    for members, commits, elects in context.listed:
        lost = {5: 2, 3: 1}.get(len(members), 0)
        for gone in itertools.combinations(sorted(members), lost):
            left = set(members) - set(gone)
            assert any(one <= left for one in commits) and any(one <= left for one in elects), (members, gone)


@given("the two deployments of the brief")
def step_deployments(context):
    context.quorums = []
    for name in ("nkansah", "pinturas"):
        members = {f"m{place}": zone for place, zone in enumerate(PLANS[name].control_daemons)}
        context.quorums.append(Quorum(members, "static"))


@then("in each the control daemons left without any one zone commit and elect")
def step_zone(context):
    for quorum in context.quorums:
        for zone in set(quorum.members.values()):
            left = [one for one, place in quorum.members.items() if place != zone]
            assert quorum.commits(left, left[0]) and elected_by(quorum, left), (quorum, zone)


@then("in each the control daemons left without any one control daemon commit and elect")
def step_control_daemon(context):
    for quorum in context.quorums:
        for lost in quorum.members:
            left = [one for one in quorum.members if one != lost]
            assert quorum.commits(left, left[0]) and elected_by(quorum, left), (quorum, lost)


@when("one control daemon is added, removed or replaced by joint consensus")
def step_joint(context):
    context.joints = []
    for members in context.spreads:
        zones = sorted(set(members.values()))
        changes = [{**members, "new": zone} for zone in (*zones, "elsewhere")]
        for lost in members:
            rest = {one: zone for one, zone in members.items() if one != lost}
            if rest:
                changes.append(rest)
            changes.append({**rest, "new": members[lost]})
        for change in changes:
            context.joints.append(Membership(Quorum(members, "static"), Quorum(change, "static")))


@then("joint quorums meet the quorums of both the old and the new members")
def step_joint_meet(context):
    assert len(context.joints) > 100
    for membership in context.joints:
        every = list(subsets(membership.members()))
        commits = minimal(
            [one for one in every if membership.commits(one, sorted(membership.now.members)[0])]
        )
        elects = minimal(
            [
                one
                for one in every
                if membership.elects({name: Reply(True, None, 0, {}) for name in one}, 1, None, 0).satisfied
            ]
        )
        for quorum in membership.quorums():
            for one in commits:
                assert all(one & other for other in elect_sets(quorum)), membership
            for one in elects:
                assert all(one & other for other in commit_sets(quorum)), membership
                assert all(one & other for other in elect_sets(quorum)), membership


@when("the election quorum is derived one group too small")
def step_inject_fault(context):
    class FaultyQuorum(Quorum):
        def elect_count(self):
            return max(1, super().elect_count() - 1)

    context.faulty_quorums = [FaultyQuorum(members, "static") for members in context.spreads]


@then("some quorums are found not to meet")
def step_injected(context):
    missed = 0
    for quorum in context.faulty_quorums:
        elects = elect_sets(quorum)
        missed += any(not one & other for one in commit_sets(quorum) for other in elects)
    assert missed, "the planted fault went unseen"


class PrintedWalk(Quorum):
    """Algorithm 2's caller as printed: the groups of the next leaders replace the others."""

    def _check_intermediate_terms(self, replies, term, leader, leader_term):
        every = self.groups()
        possible = {self.group_of(leader)}
        explored, terminal = set(possible), set(possible)
        step = leader_term
        while explored != set(every):
            for group in possible:
                if 2 * len(every[group] & set(replies)) <= len(every[group]):
                    return self._count_grants(replies, every, len(every))._replace(
                        satisfied=False, possible=True
                    )
            later = [one for reply in replies.values() for one in reply.history if step < one < term]
            terminal |= possible
            if not later:
                return self._count_all_groups(replies, terminal)
            step = min(later)
            winners = self._potential_winners(step, possible, replies)
            if winners:
                possible = {self.group_of(one) for one in winners}
                explored |= possible
        return self._count_grants(replies, every, len(every))


def play(seed, kind):
    """One history of elections on 9 members in 3 groups, each step of a real vote taken by
    a random part of the members. Says what was broken, if anything."""
    draw = random.Random(seed)
    members = {f"m{place}": f"g{place // 3}" for place in range(9)}
    quorum = kind(members, "dynamic")
    term_of = dict.fromkeys(members, 0)
    history = {one: {} for one in members}
    known = dict.fromkeys(members, (None, 0))
    leaders = {}
    for term in range(1, 9):
        for candidate in draw.sample(sorted(members), draw.choice((1, 1, 2, 3))):
            if term_of[candidate] >= term:
                continue
            term_of[candidate] = term
            history[candidate][term] = candidate
            replies = {candidate: Reply(True, *known[candidate], dict(history[candidate]))}
            for voter in draw.sample(sorted(members), draw.randrange(3, 10)):
                if voter == candidate or term_of[voter] > term:
                    continue
                granted = term not in history[voter] and known[voter][1] < term
                term_of[voter] = term
                if granted:
                    history[voter][term] = candidate
                replies[voter] = Reply(granted, *known[voter], dict(history[voter]))
            if quorum.elects(replies, term, *known[candidate]).satisfied:
                if term in leaders:
                    return f"two leaders in term {term}"
                granters = {one for one, reply in replies.items() if reply.granted}
                if leaders:
                    newest = leaders[max(leaders)]
                    if quorum.group_of(newest) not in quorum.majorities(granters):
                        return f"the leader of term {term} missed the quorum of {newest}"
                leaders[term] = candidate
                informed = [one for one in members if draw.random() < 0.4 and term_of[one] <= term] + [
                    candidate
                ]
                for one in informed:
                    term_of[one] = term
                    known[one] = (candidate, term)
                    history[one] = {past: choice for past, choice in history[one].items() if past > term}
    return None


@when("{count:d} seeded histories of dynamic elections are run")
def step_dynamic(context, count):
    context.broken = [(seed, broken) for seed in range(count) if (broken := play(seed, Quorum))]


@when("{count:d} seeded histories of dynamic elections are run with the printed walk")
def step_printed(context, count):
    context.broken = [(seed, broken) for seed in range(count) if (broken := play(seed, PrintedWalk))]


@then("no two leaders of one term are elected and each election meets the newest leader's commit quorum")
def step_sound(context):
    assert not context.broken, context.broken[:3]


@then("some election misses the newest leader's commit quorum")
def step_unsound(context):
    assert context.broken, "no history showed the fault"


@given("nine control daemons in three groups and the votes of Figure 2 in term 6")
def step_figure(context):
    members = {f"S{number}": f"group{(number + 2) // 3}" for number in range(1, 10)}
    context.modes = {mode: Quorum(members, mode) for mode in ("static", "dynamic")}
    voted = {"S2": {6: "S4"}, "S3": {6: "S7"}, "S7": {6: "S7"}, "S8": {}, "S9": {}}
    context.replies = {one: Reply(True, "S1", 5, history) for one, history in voted.items()}


@when("S8 campaigns in term 7 while S1 and group 2 are away")
def step_campaign(context):
    context.results = {
        mode: quorum.elects(context.replies, 7, "S1", 5) for mode, quorum in context.modes.items()
    }


@then("in dynamic mode the election stays undecided, and in static mode it is won")
def step_modes(context):
    assert context.results["dynamic"] == (False, True), context.results
    assert context.results["static"] == (True, True), context.results


@then("in dynamic mode it is won once S1 tells that it voted for neither")
def step_neither(context):
    replies = {**context.replies, "S1": Reply(True, "S1", 5, {})}
    assert context.modes["dynamic"].elects(replies, 7, "S1", 5).satisfied


@then("in dynamic mode it stays open once S1 tells that it voted for S4, until group 2 agrees")
def step_four(context):
    replies = {**context.replies, "S1": Reply(True, "S1", 5, {6: "S4"})}
    dynamic = context.modes["dynamic"]
    assert not dynamic.elects(replies, 7, "S1", 5).satisfied
    replies.update({one: Reply(True, "S1", 5, {6: "S4"}) for one in ("S4", "S5")})
    assert dynamic.elects(replies, 7, "S1", 5).satisfied

"""Steps for Addresses for heartbeats: a stand-in for the leader, and a simulated fleet."""

import collections
from unittest import mock

from behave import given, then, when

from pinepitch.scheduling.assignment_manager import AssignmentManager
from pinepitch.scheduling.heartbeat_addresses import Follower, HeartbeatAddresses
from pinepitch.scheduling.worker import Worker
from pinepitch.simulation import leased_job_trial

CONDITIONS = {"a small fleet": "", "a large fleet": "large-fleet"}
MOST = 0.9  # fraction of the heartbeats


class LeaderStandIn:
    """What HeartbeatAddresses reads of a leader."""

    def __init__(self, address, followers):
        self.address, self.followers = address, followers

    def live_followers(self):
        return [Follower(zone, address) for address, zone in self.followers.items()]


@given(
    "a leader at {address} in zone a, which hears followers at {second} in zone {second_zone} "
    "and at {third} in zone {third_zone}"
)
def step_leader(context, address, second, second_zone, third, third_zone):
    context.leader = LeaderStandIn(address, {second: second_zone, third: third_zone})
    context.addresses, context.now = HeartbeatAddresses(context.leader), 100.0


def send(context, address):
    context.named = context.addresses.address_for(context.worker, address, context.fleet_size, context.now)


@when("a worker in zone {zone} of a fleet of {count:d} sends a heartbeat to {address}")
def step_first(context, zone, count, address):
    context.worker, context.fleet_size = Worker("i-one", context.now), count
    context.worker.zone = zone
    send(context, address)


@when("{seconds:g} seconds later it sends one to {address}")
def step_later(context, seconds, address):
    context.now += seconds
    send(context, address)


@when("the leader loses the follower at {address}")
def step_loses(context, address):
    del context.leader.followers[address]


@then("its next heartbeats go to a follower")
def step_any(context):
    assert context.named in context.leader.followers, context.named


@then("its next heartbeats go to {address}")
def step_named(context, address):
    assert context.named == address, context.named


@when("a simulated fleet runs jobs in {condition}")
def step_simulated(context, condition):
    context.received = collections.Counter()
    original = AssignmentManager.take_heartbeat

    def take_heartbeat(manager, identity, heartbeat, address, token, now):
        context.received["leader" if address == manager.core.address else "followers"] += 1
        original(manager, identity, heartbeat, address, token, now)

    with mock.patch.object(AssignmentManager, "take_heartbeat", take_heartbeat):
        faults, _ = leased_job_trial.trial("calm", 10, CONDITIONS[condition])
    assert not faults, faults


@then("most heartbeats are received by {receiver}")
def step_received(context, receiver):
    total = sum(context.received.values())
    assert context.received[receiver] >= MOST * total, context.received

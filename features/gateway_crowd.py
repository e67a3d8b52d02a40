"""Simulated VMs that have each other as members, without sockets and on a simulated clock."""

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import Links
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import Heartbeat, Identity, Relay, decode
from cloverhook.gateway.peering import Peering

LOCAL = "papine"
REMOTE = "halfway-tree"
LOCAL_HOSTS = "10.1.0."
REMOTE_HOSTS = "10.2.0."


def heartbeat(name, data_center=LOCAL):
    """Return the heartbeat of a ready VM."""
    addresses = f"{name}:1", f"{name}:2"
    return Heartbeat(name, 1, data_center, *addresses, True, False, False, 1, 1)


def members_of(own, names, now_ms=0.0, data_center=LOCAL):
    """Return the member table of a VM that has just received heartbeats of the others."""
    members = Members(own, LOCAL, now_ms)
    for name in names:
        if name != own:
            members.record_heartbeat(heartbeat(name, data_center), now_ms)
    return members


class RecordingLink:
    """A test double of the peer link that records the datagrams sent."""

    def __init__(self):
        self.sent = []

    def send_encoded(self, address, data):
        """Record a datagram."""
        self.sent.append((address, data))


def peering_of(name, names, data_center=LOCAL):
    """Return the peering of a VM that has just received heartbeats of the others.

    Its `link` records what it sends.
    """
    own = Identity(name, 1, data_center, f"{name}:1", f"{name}:2")
    members = Members(name, data_center, 0.0)
    for other in names:
        if other != name:
            members.record_heartbeat(heartbeat(other), monotonic_ms())
    peering = _peering(own, members)
    peering.link = peering.broadcast._link = RecordingLink()
    return peering


def _peering(own, members):
    known = GatewayState()
    links = Links(known.registry, known.load_table)
    return Peering(
        own, known, members, EventLog(own.vm, len), None, lambda: None, Counters(), links
    )


def start_large_data_centers(context, count, now_ms=0.0):
    """Create two data centres of `count` VMs each, in which all VMs have each other as members."""
    context.peerings = {}
    hosts = {LOCAL: LOCAL_HOSTS, REMOTE: REMOTE_HOSTS}
    names = {
        f"{hosts[vm_data_center]}{number}": vm_data_center
        for vm_data_center in hosts
        for number in range(count)
    }
    for name, vm_data_center in names.items():
        own = Identity(name, 1, vm_data_center, f"{name}:1", f"{name}:2")
        members = Members(name, vm_data_center, now_ms)
        for other, other_data_center in names.items():
            if other != name:
                members.record_heartbeat(heartbeat(other, other_data_center), now_ms)
        peering = _peering(own, members)
        peering.ready = True
        peering.link = peering.broadcast._link = RecordingLink()
        context.peerings[f"{name}:2"] = peering
    context.now_ms = now_ms


def advance_time(context, duration_ms):
    """Advance the clock and deliver datagrams; return how many datagrams each VM received."""
    received = dict.fromkeys(context.peerings, 0)
    end_ms = context.now_ms + duration_ms
    while context.now_ms < end_ms:
        context.now_ms += 50.0
        for peering in context.peerings.values():
            peering.tick(context.now_ms)
        while any(peering.link.sent for peering in context.peerings.values()):
            for peering in context.peerings.values():
                sent, peering.link.sent = peering.link.sent, []
                for address, data in sent:
                    if address not in context.peerings:
                        continue
                    received[address] += 1
                    deliver(context.peerings[address], decode(data), context.now_ms)
    return received


def deliver(peering, message, now_ms):
    """Deliver a message to a VM at a time of the scenario's clock."""
    if isinstance(message, Relay):
        peering.broadcast.relay(message, now_ms)
        message = decode(message.data)
    peering._on_heartbeat(message, now_ms, relayed=False)


def addresses_for_callers(context):
    """Return the addresses that each VM gives to callers, by data centre and name of the VM."""
    found = {}
    for peering in context.peerings.values():
        members, own = peering._members, peering._identity
        reaches_nobody = getattr(context, "reaches_nobody", False)
        named = set(members.caller_addresses(context.now_ms, reaches_nobody))
        if members.serves_callers(context.now_ms) or not named:
            named.add(own.caller_address)
        found[own.data_center, own.vm] = frozenset(named)
    return found

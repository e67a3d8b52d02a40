"""VMs that know each other, without sockets and on a clock of their own."""

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import Heartbeat, Identity, Relay, decode
from cloverhook.gateway.peering import Peering

LOCAL = "papine"
REMOTE = "halfway-tree"
LOCAL_HOSTS = "10.1.0."
REMOTE_HOSTS = "10.2.0."


def heartbeat(name, data_center=LOCAL):
    """Return a ready VM's sign of life."""
    addresses = f"{name}:1", f"{name}:2"
    return Heartbeat(name, 1, data_center, *addresses, True, False, False, 1, 1)


def members_of(own, names, now_ms=0.0, data_center=LOCAL):
    """Return what a VM knows of others that it has just heard."""
    members = Members(own, LOCAL, now_ms)
    for name in names:
        if name != own:
            members.record_heartbeat(heartbeat(name, data_center), now_ms)
    return members


class Wire:
    """Stands in for the sockets and keeps what was sent."""

    def __init__(self):
        self.sent = []

    def send_encoded(self, address, data):
        """Keep a datagram."""
        self.sent.append((address, data))


def peering_of(name, names, data_center=LOCAL):
    """Return a VM's talk with others that it has just heard, and the wire that it sends on."""
    own = Identity(name, 1, data_center, f"{name}:1", f"{name}:2")
    members = Members(name, data_center, 0.0)
    for other in names:
        if other != name:
            members.record_heartbeat(heartbeat(other), monotonic_ms())
    peering = Peering(
        own, GatewayState(), members, EventLog(name, len), None, lambda: None, Counters()
    )
    peering.link = peering.broadcast._link = Wire()
    return peering


def start_large_data_centers(context, count):
    """Let two data centres of so many VMs know each other."""
    context.peerings = {}
    hosts = {LOCAL: LOCAL_HOSTS, REMOTE: REMOTE_HOSTS}
    names = {f"{hosts[place]}{number}": place for place in hosts for number in range(count)}
    for name, place in names.items():
        own = Identity(name, 1, place, f"{name}:1", f"{name}:2")
        members = Members(name, place, 0.0)
        for other, where in names.items():
            if other != name:
                members.record_heartbeat(heartbeat(other, where), 0.0)
        peering = Peering(
            own, GatewayState(), members, EventLog(name, len), None, lambda: None, Counters()
        )
        peering.ready = True
        peering.link = peering.broadcast._link = Wire()
        context.peerings[f"{name}:2"] = peering
    context.now_ms = 0.0


def pass_time_in_large_data_centers(context, duration_ms):
    """Let time pass; return how many datagrams each VM got."""
    got = dict.fromkeys(context.peerings, 0)
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
                    got[address] += 1
                    deliver(context.peerings[address], decode(data), context.now_ms)
    return got


def deliver(peering, message, now_ms):
    """Hand a message to a VM, on the scenario's clock."""
    if isinstance(message, Relay):
        peering.broadcast.relay(message, now_ms)
        message = decode(message.data)
    peering._on_heartbeat(message, now_ms, relayed=False)


def named_to_callers(context):
    """Return what each VM of a crowd tells callers, by its name and data centre."""
    found = {}
    for peering in context.peerings.values():
        members, own = peering._members, peering._identity
        reaches_nobody = getattr(context, "reaches_nobody", False)
        named = set(members.caller_addresses(context.now_ms, reaches_nobody))
        if members.serves_callers(context.now_ms) or not named:
            named.add(own.caller_address)
        found[own.data_center, own.vm] = frozenset(named)
    return found

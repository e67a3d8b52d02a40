"""A state machine over folds, snapshots and joins, with a faulty log and a faulty network.

A few replicas follow one log.  Operators append changes on versions that may be old, and repeat
them.  Messages between replicas are dropped, duplicated, delayed and reordered.  The log loses its
oldest records or starts over.  Replicas are replaced.  A reference state is computed by folding the
whole log in order.
"""

import json
from dataclasses import replace

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from cloverhook.fleet import Preset
from cloverhook.fold import State, Verdict, fold_data
from cloverhook.platform_api import LogSlice
from cloverhook.records import Change, Publish, RemoveBrand, SwitchPreset, encode_record
from cloverhook.replica import Replica
from cloverhook.state import offset_of, position_of

__all__ = ["LogMachine", "run_machine"]

REPLICAS = 3
BRANDS = ("brathwaite", "saltbush")
HOSTS = ("a.example", "b.example", "c.example")
PAGE = 4
STEPS_PER_RUN = 100

REPLICA = st.integers(0, REPLICAS - 1)
SMALL = st.integers(0, 2**16)


class Log:
    """A log that loses old records by retention and may start over."""

    def __init__(self):
        """Create an empty log."""
        self.first_offset = 0
        self.records = []

    @property
    def next_offset(self):
        """Return the offset of the next append."""
        return self.first_offset + len(self.records)

    def read(self, offset):
        """Return a page of records that starts at an offset, or at the first record kept."""
        start = max(offset, self.first_offset)
        index = start - self.first_offset
        page = tuple(self.records[index : index + PAGE])
        return LogSlice(self.first_offset, self.next_offset, start, page)

    def truncate(self, count):
        """Remove the first `count` records."""
        self.records = self.records[count:]
        self.first_offset += count


class LogMachine(RuleBasedStateMachine):
    """The replicas, the log, the messages in transit and the reference state."""

    steps = 0

    def __init__(self):
        """Create a log with one configuration of each brand, and new replicas."""
        super().__init__()
        self.log = Log()
        self.restarts = 0
        self.seeded = True
        self.reference = State()
        self.change_of = {}
        self.version_of = {}
        self.replicas = [self.new_replica() for _ in range(REPLICAS)]
        self.unaware = set()
        self.messages = []
        self.appended = []
        for brand, host in zip(BRANDS, HOSTS, strict=False):
            self.append_change(brand, 0, Publish(_document(brand, host)))

    def new_replica(self):
        """Return a replica whose state is checked after each record that it folds."""
        return Replica(lambda record, result: self.check(result.state))

    def check(self, state):
        """Compare a state with the reference.

        A version of a brand must be the same change in both, and no two brands may share a host.
        """
        if not self.seeded:
            return
        for brand in (*state.brands, *state.removed):
            for item in state.recent_changes(brand):
                known = self.change_of.get((brand, item.version))
                assert known == item.change_id, (brand, item, known)
        hosts = [host for item in state.brands.values() for host in item.brand.hosts()]
        assert len(hosts) == len(set(hosts)), hosts

    def step(self, index=None):
        """Count a step; return the replica with this index, if one is given."""
        LogMachine.steps += 1
        return None if index is None else self.replicas[index]

    def append(self, data):
        """Append a record, converted to JSON and back, and fold it into the reference."""
        offset = self.log.next_offset
        self.log.records.append(json.loads(json.dumps(data)))
        if self.seeded:
            self.fold_reference(offset, data)

    def fold_reference(self, offset, data):
        """Fold a record into the reference and record which change created which version."""
        position = position_of(self.restarts, offset)
        record, result = fold_data(self.reference, position, data)
        self.reference = result.state
        if isinstance(record, Change) and result.verdict is Verdict.ACCEPTED:
            version = result.state.version_of(record.brand)
            assert (record.brand, version) not in self.change_of
            assert record.change_id not in self.version_of, "a change was accepted twice"
            self.change_of[record.brand, version] = record.change_id
            self.version_of[record.change_id] = version

    def run_checked(self, replica, work):
        """Run an operation on a replica; check that it lowers no version and not the position."""
        before = {brand: replica.state.version_of(brand) for brand in BRANDS}
        position = replica.state.next_offset
        work()
        for brand, version in before.items():
            assert (
                replica.state.version_of(brand) >= version
            ), "an operation lowered the version of a brand"
        assert replica.state.next_offset >= position, "an operation lowered the position in the log"
        self.check(replica.state)

    def append_change(self, brand, version, action):
        """Append a change with a new identifier."""
        change = Change(f"c{len(self.appended)}", brand, version, "ann", action)
        self.appended.append(encode_record(change))
        self.append(self.appended[-1])

    @rule(index=REPLICA, brand=st.sampled_from(BRANDS), choice=SMALL, current=st.booleans())
    def publish(self, index, brand, choice, current):
        """Append an operator's change based on the version that a replica has."""
        replica = self.step(index)
        if current:
            self.read_all(replica, index)
        actions = (
            *(SwitchPreset(preset) for preset in Preset),
            *(Publish(_document(brand, host)) for host in HOSTS),
            RemoveBrand(),
            Publish({"brand": brand, "services": "none"}),
        )
        version = replica.state.version_of(brand)
        self.append_change(brand, version, actions[choice % len(actions)])

    @rule(choice=SMALL)
    def repeat(self, choice):
        """Append an operator's change a second time, or an invalid record."""
        self.step()
        if choice % 8 and self.appended:
            self.append(self.appended[choice % len(self.appended)])
        else:
            self.append({"format": choice, "type": "change"})

    @rule(index=REPLICA)
    def read(self, index):
        """Make a replica read a page of the log."""
        self.read_page(self.step(index), index)

    @rule(index=REPLICA)
    def read_to_end(self, index):
        """Make a replica read to the end of the log."""
        self.read_all(self.step(index), index)

    def read_all(self, replica, index):
        """Read pages until the end of the log.

        The number of pages is sufficient also when the replica first searches for a snapshot.
        """
        for _ in range(6 + 2 * len(self.log.records) // PAGE):
            self.read_page(replica, index)
            if replica.at_end:
                break

    def read_page(self, replica, index):
        """Read a page.

        A replica that is not yet aware that the log has started over first records a failed read,
        as a pause or an outage causes one.
        """
        if index in self.unaware:
            self.unaware.discard(index)
            replica.record_read_failure()
        read = self.log.read(replica.next_read().offset)
        self.run_checked(replica, lambda: replica.apply_read(read))

    @rule(source=REPLICA, receiver=REPLICA, with_state=st.booleans(), skipped=st.integers(0, 2))
    def send(self, source, receiver, with_state, skipped):
        """Send a peer a state, or the records that it lacks, possibly without the first ones."""
        replica = self.step(source)
        offset = self.replicas[receiver].state.next_offset + skipped
        if with_state:
            self.messages.append((receiver, replica.state.to_document(), None))
        else:
            records = replica.records_from(offset)
            self.messages.append((receiver, offset, records or ()))

    @precondition(lambda self: self.messages)
    @rule(choice=SMALL, doubled=st.booleans(), dropped=st.booleans())
    def deliver(self, choice, doubled, dropped):
        """Deliver or drop any one of the messages; a duplicated one stays in transit, up to 32."""
        self.step()
        index = choice % len(self.messages)
        receiver, content, records = self.messages[index]
        if not doubled or len(self.messages) > 32:
            del self.messages[index]
        if dropped:
            return
        replica = self.replicas[receiver]
        if records is None:
            state = State.from_document(content)
            self.run_checked(replica, lambda: replica.adopt(state))
        else:
            self.run_checked(replica, lambda: replica.fold_records(content, records))

    @rule(index=REPLICA)
    def snapshot(self, index):
        """Append a snapshot, which may be old or already be in the log."""
        replica = self.step(index)
        if index not in self.unaware and not replica.records_lost and replica.at_end:
            self.append(encode_record(replica.snapshot()))

    @precondition(lambda self: all(item.records_lost for item in self.replicas))
    @rule(index=REPLICA)
    def seed(self, index):
        """Seed the log with the most advanced replica's snapshot when no replica can fold the log.

        The messages in transit are dropped, because the replicas' delay before they seed a log is
        longer than any message takes.
        """
        replica = self.step(index)
        self.read_page(replica, index)
        for peer in self.replicas:
            if not replica.state.join(peer.state).same_brands(replica.state):
                return
        snapshot = replica.snapshot()
        self.messages.clear()
        if not self.seeded:
            self.restarts += 1
        self.restart_reference(snapshot)
        self.append(encode_record(snapshot))

    def restart_reference(self, snapshot):
        """Recompute the reference from a snapshot and the records that the log still contains."""
        state = State.from_document(snapshot.state)
        offset = offset_of(state.next_offset)
        self.reference = replace(state, next_offset=position_of(self.restarts, offset))
        known = [(brand, item) for brand in BRANDS for item in state.recent_changes(brand)]
        self.change_of = {(brand, item.version): item.change_id for brand, item in known}
        self.version_of = {item.change_id: item.version for _, item in known}
        self.seeded = True
        for data in self.log.records[offset - self.log.first_offset :]:
            self.fold_reference(offset, data)
            offset += 1

    @precondition(lambda self: self.seeded)
    @rule(index=REPLICA)
    def replace_replica(self, index):
        """Replace a VM, whose new daemon starts without any state."""
        self.step(index)
        others = [item for item in self.replicas if item is not self.replicas[index]]
        if any(item.at_end for item in others):
            self.replicas[index] = self.new_replica()

    @rule(count=st.integers(1, 6))
    def truncate(self, count):
        """Remove the oldest records by retention, possibly some that not every replica has read."""
        self.step()
        cut = self.log.first_offset + min(count, len(self.log.records))
        follows = [item for item in self.replicas if offset_of(item.state.next_offset) >= cut]
        if self.seeded and not self.unaware and follows:
            self.log.truncate(cut - self.log.first_offset)

    @precondition(lambda self: self.seeded and all(item.state.brands for item in self.replicas))
    @rule(choice=st.integers(0, 1), grown=st.integers(0, 12))
    def start_over(self, choice, grown):
        """Lose the whole log while every replica has brands in force.

        The new log has the last `grown` changes, or all if that is 0, before any replica reads it.
        """
        self.step()
        if choice or self.unaware:
            return
        self.log = Log()
        self.seeded = False
        self.unaware = set(range(REPLICAS))
        for data in self.appended[-grown:]:
            self.append(data)

    @rule(one=REPLICA, two=REPLICA, three=REPLICA)
    def join_laws(self, one, two, three):
        """Check that the join is associative, commutative and idempotent."""
        self.step()
        a, b, c = (self.replicas[index].state for index in (one, two, three))
        assert a.join(b) == b.join(a)
        assert a.join(b).join(c) == a.join(b.join(c))
        assert a.join(a) == a

    @precondition(lambda self: self.seeded)
    @rule()
    def converge(self):
        """Check that all replicas reach the reference state once one has folded the whole log."""
        self.step()
        for index, replica in enumerate(self.replicas):
            self.read_all(replica, index)
        following = [replica for replica in self.replicas if not replica.records_lost]
        for replica in following:
            assert replica.state.same_brands(
                self.reference
            ), "a replica that follows the log differs from the reference"
        if not following:
            return
        self.append(encode_record(following[0].snapshot()))
        for index, replica in enumerate(self.replicas):
            self.read_all(replica, index)
            assert replica.at_end, "a replica does not reach the end of the log"
            assert not replica.records_lost, "a replica does not find the snapshot"
            assert replica.state.same_brands(self.reference)


def _document(brand, host):
    return {"brand": brand, "services": [{"name": "orders", "hosts": [host]}]}


def run_machine(steps, number=0):
    """Run at least `steps` steps of the sequence with this number; return how many were run."""
    LogMachine.steps = 0
    run_state_machine_as_test(
        seed(number)(LogMachine),
        settings=settings(
            max_examples=steps * 6 // (5 * STEPS_PER_RUN),
            stateful_step_count=STEPS_PER_RUN,
            derandomize=True,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
    return LogMachine.steps

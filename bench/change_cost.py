"""Measures what a change of a brand's configuration or of the members costs one daemon.

    python -m bench.change_cost

The figures are processor time of the decisions alone, as the mean of `CHANGES` changes.  A change
of configuration alters the policy of one service in a brand of ten services.  A change of members
removes or adds one member.
"""

import random
import time

from bench.figures import Table
from bench.many_services import SERVICES_PER_BRAND, brand_document, publish_changes
from cloverhook.dispatch import Dispatcher, Target
from cloverhook.fold import fold
from cloverhook.homes import HomeTable
from cloverhook.members import Member
from cloverhook.messages import Message
from cloverhook.records import Change, Publish
from cloverhook.state import State

__all__ = ["main"]

ADDRESSES = [f"10.0.0.{index}:80" for index in range(1, 9)]
DATA_CENTERS = [f"center-{index}" for index in range(3)]
SERVICES = (10, 60, 390)
MEMBERS = (19, 100, 300)
HOMES = 3
CHANGES = 20


class _NullTransport:
    """Discards the messages and probes that routers send."""

    def send_message(self, vm: str, message: Message) -> None:
        pass

    def probe(self, target: Target, address: str, health: bool = False) -> None:
        pass


def _measure_configuration(services: int) -> tuple[int, float, float]:
    state = State()
    for change in publish_changes(services, ADDRESSES, DATA_CENTERS):
        state = fold(state, state.next_offset, change).state
    dispatcher = Dispatcher(random.Random(1), _NullTransport())
    dispatcher.configure(state, 0.0)
    fold_s = configure_s = 0.0
    for index in range(CHANGES):
        document = brand_document("brand-0", SERVICES_PER_BRAND, ADDRESSES, DATA_CENTERS)
        document["services"][3]["policy"] = {"wait_limit_ms": 100 + index}
        change = Change(f"change-{index}", "brand-0", 1 + index, "bench", Publish(document))
        started_s = time.process_time()
        state = fold(state, state.next_offset, change).state
        folded_s = time.process_time()
        dispatcher.configure(state, 1.0)
        fold_s += folded_s - started_s
        configure_s += time.process_time() - folded_s
    return services, fold_s * 1_000 / CHANGES, configure_s * 1_000 / CHANGES


def _measure_members(count: int) -> tuple[int, float, float]:
    members = [Member(f"vm-{index}", f"center-{index % 13}", "", "") for index in range(count)]
    counts = {f"brand/service-{index}": HOMES for index in range(SERVICES[-1])}
    homes = HomeTable()
    started_s = time.process_time()
    homes.update(counts, members)
    first_s = time.process_time() - started_s
    started_s = time.process_time()
    for index in range(CHANGES // 2):
        homes.update(counts, members[:index] + members[index + 1 :])
        homes.update(counts, members)
    return count, first_s * 1_000, (time.process_time() - started_s) * 1_000 / CHANGES


def main() -> None:
    """Print the cost of changes at several sizes."""
    columns = ("services", "fold ms", "configure ms")
    print(
        Table("a change of configuration", columns, [_measure_configuration(n) for n in SERVICES])
    )
    columns = ("members", "first ms", "each change ms")
    print(
        Table(f"homes of {SERVICES[-1]} services", columns, [_measure_members(n) for n in MEMBERS])
    )


if __name__ == "__main__":
    main()

"""Replays, without sockets, accounts whose callers send up to 5 times the limit to many VMs."""

import heapq
import random
from bisect import bisect_right

from cloverhook.gateway.accounts import ClientAccount
from cloverhook.gateway.allotment import AllotmentLimits, Allotments

LIMITS = AllotmentLimits(window_s=5.0, overshoot=0.1, slack=20.0)
STEP_MS = 10.0
IDLE_MS = 4_000.0
"""The fleet runs for this long before callers come, so that accounts may use their bursts."""
CHANGE_MS = IDLE_MS + 6_500.0
"""When what a scenario names happens: after the bursts and in the middle of a window."""
PARTITION_MS = 14_000.0
"""Longer than the two windows for which a silent VM must keep its share."""
END_MS = IDLE_MS + 24_000.0
MOVE_MS = 3_000.0
KILL_EVERY_MS = 2_000.0
DOWN_MS = (800.0, 1_400.0)
POWER_BACK_MS = (500.0, 1_100.0)
HEARTBEAT_MS = 300.0
APPLY_MS = 2_000.0
CONFIG_BOUND_MS = 2_500.0
TICK_MS = 50.0
DELAY_MS = (1.0, 20.0)
"""How long a message is under way and waits to be read."""
DATA_CENTERS = 3


class Caller:
    """The callers of one account, an ideal bucket for what they may use, and what was admitted."""

    def __init__(self, rate_per_s, demand):
        self.account = ClientAccount(f"{rate_per_s:g}x{demand:g}", (), None, rate_per_s, rate_per_s)
        self.demand_per_s = rate_per_s * demand
        self.vm = 0
        self.level, self.level_ms = rate_per_s, IDLE_MS
        self.allowed = 0
        self.admitted_ms = []

    def ideal_take(self, now_ms):
        """Charge a single bucket for the whole fleet, which knows of every request at once."""
        rate_per_s, burst = self.account.rate_per_s, self.account.burst
        self.level = min(burst, self.level + rate_per_s * (now_ms - self.level_ms) / 1_000)
        self.level_ms = now_ms
        if self.level >= 1.0:
            self.level -= 1.0
            self.allowed += 1

    def served_share(self):
        """Return the share of what the account may use that was admitted."""
        return len(self.admitted_ms) / max(1, self.allowed)

    def most_beyond(self, account, from_ms, until_ms):
        """Return by how many requests the worst window within a time exceeds the bound."""
        window_ms = 1_000 * LIMITS.window_s
        allowed = account.rate_per_s * LIMITS.window_s + account.burst
        allowed += LIMITS.tolerance(account.rate_per_s, account.burst)
        times_ms = [at_ms for at_ms in self.admitted_ms if from_ms <= at_ms < until_ms]
        counts = (
            bisect_right(times_ms, at_ms) - bisect_right(times_ms, at_ms - window_ms)
            for at_ms in times_ms
        )
        return max(counts, default=0) - allowed


class AllotmentReplay:
    """VMs that report to each other, and callers of accounts at some of them.

    `places` is "one" VM, "all" VMs, or "moving" from one to another.  `trouble` names what happens
    at `CHANGE_MS`; `loss` is the share of datagrams that are lost.
    """

    def __init__(self, vms, rates, demands, places, trouble, loss, seed):
        self.random = random.Random(seed)
        self.vms, self.places, self.trouble, self.loss = vms, places, trouble, loss
        self.now_ms = 0.0
        self.callers = [Caller(rate, demand) for rate in rates for demand in demands]
        self.accounts = [[item.account for item in self.callers] for _ in range(vms)]
        self.lowered = {}
        self.allotments = [None] * vms
        self.incarnations = [0] * vms
        self.up_since_ms = [0.0] * vms
        self.back_ms = [0.0] * vms
        self.sides = [0] * vms
        self.messages = []
        self.sent = 0
        self.ticks = []
        for vm in range(vms):
            self._start(vm)
            self.allotments[vm].record_fleet(vms, 0.0)
        self.up = list(range(vms))

    def _start(self, vm):
        seed = self.random.randrange(2**32)
        self.incarnations[vm] += 1
        self.up_since_ms[vm] = self.now_ms
        self.allotments[vm] = Allotments(f"vm-{vm}", LIMITS, random.Random(seed), self.now_ms)
        self.allotments[vm].set_accounts(self.accounts[vm], self.now_ms)
        due_ms = self.now_ms + self.random.uniform(0.0, TICK_MS)
        heapq.heappush(self.ticks, (due_ms, vm, self.incarnations[vm]))

    def play(self):
        """Run to the end; return self."""
        while self.now_ms < END_MS:
            self.now_ms += STEP_MS
            self._change()
            self._send_reports()
            self._deliver()
            if self.now_ms > IDLE_MS:
                self._call()
        return self

    def _change(self):
        now_ms, trouble = self.now_ms, self.trouble
        if trouble == "a third alone" and now_ms == CHANGE_MS:
            self.sides = [vm if vm % 3 == 0 else -1 for vm in range(self.vms)]
        elif trouble == "a data centre alone" and now_ms == CHANGE_MS:
            self.sides = [vm % DATA_CENTERS == 0 for vm in range(self.vms)]
        elif trouble == "killed" and now_ms > IDLE_MS and now_ms % KILL_EVERY_MS == 0:
            self._kill(self.random.sample(self.up, len(self.up) // 5), DOWN_MS)
        elif trouble == "no power" and now_ms == CHANGE_MS:
            self._kill(list(self.up), POWER_BACK_MS)
        elif trouble == "lowered" and now_ms == CHANGE_MS:
            self._lower()
        if now_ms == CHANGE_MS + PARTITION_MS:
            self.sides = [0] * self.vms
        for vm, at_ms in tuple(self.lowered.items()):
            if now_ms >= at_ms:
                del self.lowered[vm]
                self.allotments[vm].set_accounts(self.accounts[vm], self.now_ms)
        if len(self.up) < self.vms:
            self._start_due()

    def _kill(self, vms, down_ms):
        for vm in vms:
            self.allotments[vm] = None
            self.back_ms[vm] = self.now_ms + self.random.uniform(*down_ms)
        self.up = [vm for vm in range(self.vms) if self.allotments[vm] is not None]

    def _start_due(self):
        for vm in range(self.vms):
            if self.allotments[vm] is None and self.now_ms >= self.back_ms[vm]:
                self._start(vm)
        self.up = [vm for vm in range(self.vms) if self.allotments[vm] is not None]
        known = sum(self.now_ms - self.up_since_ms[vm] > HEARTBEAT_MS for vm in self.up)
        for vm in self.up:
            if self.now_ms - self.up_since_ms[vm] > HEARTBEAT_MS:
                self.allotments[vm].record_fleet(max(known, 1), self.now_ms)

    def _lower(self):
        lowered = [
            ClientAccount(item.account.name, (), None, item.account.rate_per_s / 10, 1.0)
            for item in self.callers
        ]
        for vm in range(self.vms):
            self.accounts[vm] = lowered
            self.lowered[vm] = self.now_ms + self.random.uniform(0.0, APPLY_MS)

    def _send_reports(self):
        while self.ticks and self.ticks[0][0] <= self.now_ms:
            due_ms, vm, incarnation = heapq.heappop(self.ticks)
            allotments = self.allotments[vm]
            if allotments is None or incarnation != self.incarnations[vm]:
                continue
            heapq.heappush(self.ticks, (due_ms + TICK_MS, vm, incarnation))
            if allotments.is_report_due(self.now_ms):
                self._send(vm, allotments.use_rows(self.now_ms))

    def _send(self, vm, rows):
        for data_center in range(DATA_CENTERS):
            receivers = range(data_center, self.vms, DATA_CENTERS)
            senders = [vm]
            if data_center != vm % DATA_CENTERS:
                relays = self.random.sample(receivers, self.allotments[vm].relay_count)
                senders = [
                    relay
                    for relay in relays
                    if self.allotments[relay] is not None and not self._is_lost(vm, relay)
                ]
            for sender in senders:
                for receiver in receivers:
                    self._send_to(sender, receiver, vm, rows)

    def _send_to(self, sender, receiver, vm, rows):
        self.sent += 1
        if receiver == vm or self._is_lost(sender, receiver):
            return
        at_ms = self.now_ms + self.random.uniform(*DELAY_MS)
        message = (at_ms, self.sent, receiver, vm, self.incarnations[vm], rows)
        heapq.heappush(self.messages, message)

    def _is_lost(self, sender, receiver):
        return self.sides[sender] != self.sides[receiver] or self.random.random() < self.loss

    def _deliver(self):
        while self.messages and self.messages[0][0] <= self.now_ms:
            _, _, receiver, vm, incarnation, rows = heapq.heappop(self.messages)
            if self.allotments[receiver] is not None:
                self.allotments[receiver].record_report(
                    f"vm-{vm}", incarnation, rows, self.now_ms, is_whole=True
                )

    def _call(self):
        moves = self.now_ms % MOVE_MS == 0
        for caller in self.callers:
            if moves and self.places == "moving":
                caller.vm = self.random.randrange(self.vms)
            expected = caller.demand_per_s * STEP_MS / 1_000
            for _ in range(self._poisson(expected)):
                self._call_once(caller)

    def _poisson(self, expected):
        count, at = 0, self.random.expovariate(1.0)
        while at < expected:
            count += 1
            at += self.random.expovariate(1.0)
        return count

    def _call_once(self, caller):
        caller.ideal_take(self.now_ms)
        if not self.up:
            return
        vm = caller.vm
        if self.places == "all" or self.allotments[vm] is None:
            vm = self.random.choice(self.up)
        account = next(item for item in self.accounts[vm] if item.name == caller.account.name)
        if vm in self.lowered:
            account = caller.account
        if self.allotments[vm].try_take(account, self.now_ms).admitted:
            caller.admitted_ms.append(self.now_ms)

    def worst_beyond(self):
        """Return the highest number of requests beyond the bound, and its account."""
        found = []
        for number, caller in enumerate(self.callers):
            if self.trouble != "lowered":
                found.append((caller.most_beyond(caller.account, 0.0, END_MS), caller.account.name))
                continue
            # A lower limit is in force after the time to apply it and one window more.
            new_ms = CHANGE_MS + CONFIG_BOUND_MS + 1_000 * LIMITS.window_s
            found.append((caller.most_beyond(caller.account, 0.0, new_ms), caller.account.name))
            account = self.accounts[0][number]
            found.append((caller.most_beyond(account, new_ms, END_MS), f"{account.name} lowered"))
        return max(found)

    def least_served(self):
        """Return the lowest served share of what an account may use, and its account."""
        return min((item.served_share(), item.account.name) for item in self.callers)

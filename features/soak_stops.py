"""The soak's check of planned stops: what a stopping gateway accepts, it answers."""

from dataclasses import dataclass, field

from cloverhook.clock import monotonic_ms

__all__ = ["StopChecks"]


@dataclass
class StopChecks:
    """The planned stops of a run, by gateway process."""

    begun_ms: dict = field(default_factory=dict)

    def record_stop(self, identity):
        """Record that a process is told to stop."""
        self.begun_ms[identity] = monotonic_ms()

    def excuse(self, identity):
        """Record that a process was killed or paused during its stop."""
        self.begun_ms.pop(identity, None)

    def violations(self, calls, runs):
        """Yield the requests that a stopping process has sent on and not answered.

        They were sent after the stop had begun and may not be repeated; a process may break off
        others that take longer than expected.
        """
        for call in calls:
            begun_ms = self.begun_ms.get(call.identity)
            if call.idempotent or begun_ms is None or call.sent_ms < begun_ms:
                continue
            answered = call.answer is not None and call.answer.status and call.answer.whole
            if runs.get(call.request_id) and not answered:
                after_ms = round(call.sent_ms - begun_ms)
                yield f"{call.request_id}, sent {after_ms} ms into a planned stop, was broken off"

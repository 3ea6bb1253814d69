"""Records of concurrent runs, and the invariants checked on them."""

from collections import defaultdict
from dataclasses import dataclass, field

from mangohatch.claims import Answer
from mangohatch.peer.messages.config import ConfigPush
from mangohatch.timeline.event import EventKind

__all__ = ["Copy", "History", "HistoryViolation"]


class HistoryViolation(AssertionError):
    """A history violates an invariant; ``promise`` names the invariant."""

    def __init__(self, promise, detail):
        self.promise = promise
        super().__init__(f"{promise}: {detail}")


@dataclass(slots=True, kw_only=True)
class Copy:
    """One copy of a keyed request, with its effect and the reply to its caller."""

    key: str
    host: str
    sent: bool = False
    told: str = ""
    answer: Answer | None = None


@dataclass(slots=True)
class History:
    """Observations of the hosts in one run."""

    copies: list[Copy] = field(default_factory=list)
    watchers: dict[int, set[str]] = field(default_factory=lambda: defaultdict(set))
    late_pushes: list[str] = field(default_factory=list)
    newest: dict[tuple[str, str], int] = field(default_factory=dict)
    accepted: dict[str, int] = field(default_factory=dict)

    def record_push(self, message, lease):
        """
        Record a message when it is sent.

        :param message: the message
        :param lease: current lease object in the store, never a stale copy
        """
        if not isinstance(message, ConfigPush) or not message.epoch:
            return
        self.watchers[message.epoch].add(message.watcher)
        if lease is None or lease.value["epoch"] != message.epoch:
            self.late_pushes.append(f"{message.watcher} in epoch {message.epoch}")

    def check_watchers(self):
        """Check that only one host at a time acts as the holder of the lease."""
        for epoch, hosts in self.watchers.items():
            if len(hosts) > 1:
                raise HistoryViolation("one watcher an epoch", f"{epoch}: {hosts}")
        if self.late_pushes:
            raise HistoryViolation("fenced watcher is silent", self.late_pushes[0])

    def check_config(self, hosts):
        """
        Check that no host reverts to an older revision or loses an accepted one.

        A revision is accepted once every ready host has it or a newer one.

        :param hosts: the hosts in their current state
        """
        for host in hosts.live.values():
            self._check_order(host)
            for name, row in host.tables.services.items():
                key = (host.host_id, name)
                if row.revision < self.newest.get(key, 0):
                    raise HistoryViolation("config never reverts", f"{key}")
                self.newest[key] = row.revision
            if host.state.ready():
                self._check_accepted(host)
        self._record_accepted(hosts)

    def check_keys(self):
        """Check that a key runs at most once and that replies match what happened."""
        sent = defaultdict(list)
        for copy in self.copies:
            if copy.sent:
                sent[copy.key].append(copy)
            if copy.told == "not_run" and copy.sent:
                raise HistoryViolation("not run is true", copy)
        for key, copies in sent.items():
            if len(copies) > 1:
                raise HistoryViolation("at most once", copies)
        for copy in self.copies:
            first = sent[copy.key][0].answer if sent[copy.key] else None
            if copy.answer is not None and copy.answer != first:
                raise HistoryViolation("the first answer is repeated", copy)

    def _check_order(self, host):
        applied = {}
        for event in host.recorder.events():
            if event.kind is EventKind.CONFIG_APPLIED:
                if event.revision <= applied.get(event.service, 0):
                    raise HistoryViolation("config never reverts", event)
                applied[event.service] = event.revision

    def _check_accepted(self, host):
        for name, revision in self.accepted.items():
            found = host.state.revision_of("service", name)
            if found < revision:
                detail = f"{host.host_id} has revision {found}, {revision} was accepted"
                raise HistoryViolation("accepted never reverts", detail)

    def _record_accepted(self, hosts):
        ready = [host for host in hosts.live.values() if host.state.ready()]
        names = {name for host in ready for name in host.tables.services}
        for name in names:
            lowest = min(host.state.revision_of("service", name) for host in ready)
            self.accepted[name] = max(self.accepted.get(name, 0), lowest)

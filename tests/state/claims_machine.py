"""State machine of keyed requests."""

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from mangohatch.claims import Answer
from mangohatch.errors import Outcome, RequestError
from tests.state.faults import HOSTS_LEAST, SERVICE, FaultMachine, hosts_drawn
from tests.state.history import Copy

__all__ = ["ClaimsMachine"]

KEYS = ("k1", "k2", "k3")
DEADLINE_MS = 1500.0

# None: the host never reports the outcome of the request.
outcomes_drawn = st.sampled_from((*Outcome, None))


class ClaimsMachine(FaultMachine):
    """Sends copies of a few keyed requests through all hosts while they fail."""

    @rule(
        key=st.sampled_from(KEYS),
        one=hosts_drawn,
        other=hosts_drawn,
        outcome=outcomes_drawn,
    )
    def request_and_resend(self, key, one, other, outcome):
        self._request(key, self._host(one), outcome)
        self.loop.run_for(50.0)
        self._request(key, self._host(other), Outcome.DONE)
        self.loop.run_for(50.0)

    @rule(key=st.sampled_from(KEYS), one=hosts_drawn, other=hosts_drawn)
    def request_twice(self, key, one, other):
        self._request(key, self._host(one), Outcome.DONE)
        self._request(key, self._host(other), Outcome.DONE)
        self.loop.run_for(30.0)

    @rule(key=st.sampled_from(KEYS), one=hosts_drawn, other=hosts_drawn)
    def resend_after_the_deadline(self, key, one, other):
        self._request(key, self._host(one), None)
        self.loop.run_for(2 * DEADLINE_MS)
        self._request(key, self._host(other), Outcome.DONE)
        self.loop.run_for(30.0)

    @precondition(lambda self: len(self.hosts.live) > HOSTS_LEAST)
    @rule(key=st.sampled_from(KEYS), host=hosts_drawn, wait_ms=st.integers(1, 8))
    def request_and_leave(self, key, host, wait_ms):
        chosen = self._host(host)
        self._request(key, chosen, Outcome.DONE)
        self.loop.run_for(wait_ms)
        self._leave(chosen)

    def _request(self, key, host, outcome):
        copy = Copy(key=key, host=host.host_id)
        self.history.copies.append(copy)
        self.loop.spawn(host.host_id, self._run_copy(copy, host, outcome))

    async def _run_copy(self, copy, host, outcome):
        deadline_ms = self.loop.time() * 1000.0 + DEADLINE_MS
        try:
            result = await host.claims.begin(
                service=SERVICE,
                key=copy.key,
                request_id=copy.host,
                deadline_ms=deadline_ms,
            )
        except RequestError as exc:
            copy.told = exc.outcome.value
            return
        if isinstance(result, Answer):
            copy.answer = result
            return
        if outcome is Outcome.NOT_RUN or self.loop.time() * 1000.0 >= deadline_ms:
            await result.finish(Outcome.NOT_RUN, None)
            copy.told = Outcome.NOT_RUN.value
            return
        copy.sent = True
        if outcome is None:
            return
        answer = Answer(status=200, headers=(), body=f"{next(self._numbers)}".encode())
        if outcome is Outcome.DONE:
            copy.answer = answer
        await result.finish(outcome, copy.answer)

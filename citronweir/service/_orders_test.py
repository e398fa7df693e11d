"""Tests of orders with interleaved attempts and faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir.service import _orders as orders
from fakes import claims as fake_claims

# Mostly successful calls, so that attempts get past their first steps.
FAULTS = st.lists(
    st.sampled_from(
        [
            fake_claims.Fault.NONE,
            fake_claims.Fault.NONE,
            fake_claims.Fault.NONE,
            *fake_claims.Fault,
        ]
    ),
    max_size=4,
)


class OrdersMachine(stateful.RuleBasedStateMachine):
    """Checks G4 and G5 for orders on several nodes with random faults."""

    def __init__(self):
        super().__init__()
        self.simulation = fake_claims.Simulation()
        self.request_ids = []
        self.open_attempts = []
        self.dispatches = {}

    @stateful.precondition(lambda self: len(self.request_ids) < 2)
    @stateful.rule(clock_offset=st.sampled_from([0.0, -30.0, 59.0]))
    def new_order(self, clock_offset):
        """Sends a new order with a request id of the caller's clock."""
        wall = fake_claims.START_WALL_TIME + self.simulation.now + clock_offset
        self.request_ids.append(
            fake_claims.make_id(wall, len(self.request_ids))
        )
        self._start_attempt(
            'n1', self.request_ids[-1], [fake_claims.Fault.NONE], True
        )

    @stateful.precondition(lambda self: self.request_ids)
    @stateful.rule(
        node=st.sampled_from(['n1', 'n2']),
        choice=st.integers(0, 1),
        faults=FAULTS,
    )
    def send_order(self, node, choice, faults):
        """Sends an order that may be a repeat."""
        request_id = self.request_ids[-1 - choice % len(self.request_ids)]
        self._start_attempt(node, request_id, faults, False)

    def _start_attempt(self, node, request_id, faults, is_first):
        req = core.OrderRequest(
            request_id,
            fake_claims.CONTRACT.contract_id,
            fake_claims.INDEX,
            'b',
            is_first=is_first,
        )
        coro = orders.run_order(
            fake_claims.make_dependencies(self.simulation, node), req, ''
        )
        attempt = fake_claims.Attempt(coro, request_id, is_first)
        self._resume(attempt, None)
        self._answer_calls(attempt, faults, 0)

    @stateful.precondition(lambda self: self.open_attempts)
    @stateful.rule(
        choice=st.integers(0, 3), faults=FAULTS, stale=st.integers(0, 3)
    )
    def answer_calls(self, choice, faults, stale):
        """Answers the next calls of an attempt."""
        attempt = self.open_attempts[choice % len(self.open_attempts)]
        self._answer_calls(attempt, faults, stale)

    @stateful.precondition(lambda self: self.open_attempts)
    @stateful.rule(choice=st.integers(0, 3), after_call=st.booleans())
    def crash(self, choice, after_call):
        """Ends an attempt before or after its call has taken effect."""
        attempt = self.open_attempts.pop(choice % len(self.open_attempts))
        if after_call:
            self._run(attempt, fake_claims.Fault.NONE, 0)
        attempt.coro.close()

    @stateful.precondition(lambda self: self.simulation.delayed)
    @stateful.rule(choice=st.integers(0, 3))
    def deliver_delayed(self, choice):
        """Applies a delayed write."""
        delayed = self.simulation.delayed
        fake_claims.apply_write(
            self.simulation, delayed.pop(choice % len(delayed))
        )

    @stateful.rule(seconds=st.sampled_from([0.5, 3.0]))
    def pause(self, seconds):
        """Pauses all processes for less or more than a time budget."""
        self.simulation.now += seconds

    @stateful.precondition(lambda self: self.simulation.now < core.LEASE_TTL)
    @stateful.rule(seconds=st.sampled_from([3600.0, 82_830.0, 83_400.0]))
    def pause_long(self, seconds):
        """Pauses for an hour, or for 30 s or 10 min more than 23 h."""
        self.simulation.now += seconds
        fake_claims.delete_expired_claims(self.simulation)

    def _answer_calls(self, attempt, faults, stale):
        for fault in faults:
            if attempt not in self.open_attempts:
                return
            self.open_attempts.remove(attempt)
            self._resume(attempt, self._run(attempt, fault, stale))

    def _run(self, attempt, fault, stale):
        match attempt.call:
            case fake_claims.Write():
                return fake_claims.answer_write(
                    self.simulation, attempt.call, fault
                )
            case fake_claims.Read():
                return fake_claims.answer_read(
                    self.simulation, attempt.call, fault, stale
                )
        reply = fake_claims.answer_send(self.simulation, attempt, fault)
        if attempt.dispatched:
            other = self.dispatches.setdefault(attempt.request_id, attempt)
            assert other is attempt, 'an order was dispatched twice'
        return reply

    def _resume(self, attempt, reply):
        try:
            attempt.call = attempt.coro.send(reply)
        except StopIteration as stop:
            self._check(attempt, stop.value)
        else:
            self.open_attempts.append(attempt)

    def _check(self, attempt, outcome):
        if isinstance(outcome, core.Refused):
            assert not attempt.dispatched, 'refused after a dispatch'
            is_run = attempt.request_id in self.dispatches
            assert attempt.is_first or not is_run, 'a repeat was refused'
        if isinstance(outcome, core.Executed):
            runs = self.simulation.runs.get(attempt.request_id)
            assert runs == [outcome.result], 'not the result of the run'

    def teardown(self):
        """Closes the attempts that are still open."""
        for attempt in self.open_attempts:
            attempt.coro.close()


TestOrders = OrdersMachine.TestCase
TestOrders.settings = hypothesis.settings(
    max_examples=max(500, hypothesis.settings.default.max_examples),
    stateful_step_count=30,
)


def _run_to_end(simulation, faults):
    request_id = fake_claims.make_id(fake_claims.START_WALL_TIME, 1)
    req = core.OrderRequest(
        request_id, fake_claims.CONTRACT.contract_id, fake_claims.INDEX, 'b'
    )
    coro = orders.run_order(
        fake_claims.make_dependencies(simulation, 'n1'), req, ''
    )
    attempt = fake_claims.Attempt(coro, request_id, False)
    calls, reply = [], None
    try:
        while True:
            attempt.call = attempt.coro.send(reply)
            calls.append(type(attempt.call))
            fault = faults.get(len(calls), fake_claims.Fault.NONE)
            match attempt.call:
                case fake_claims.Write():
                    reply = fake_claims.answer_write(
                        simulation, attempt.call, fault
                    )
                case fake_claims.Read():
                    reply = fake_claims.answer_read(
                        simulation, attempt.call, fault, 0
                    )
                case fake_claims.Send():
                    reply = fake_claims.answer_send(simulation, attempt, fault)
    except StopIteration as stop:
        return stop.value, calls


def test_repeat_of_a_finished_order_returns_its_result():
    """A repeat must return the stored result without running the order."""
    simulation = fake_claims.Simulation()
    first, calls = _run_to_end(simulation, {})
    assert isinstance(first, core.Executed)
    assert calls == [fake_claims.Write, fake_claims.Send, fake_claims.Write]
    assert _run_to_end(simulation, {}) == (first, [fake_claims.Write])


def test_order_proceeds_after_the_reply_of_its_claim_is_lost():
    """An order must not be blocked by its own claim."""
    outcome, calls = _run_to_end(
        fake_claims.Simulation(), {1: fake_claims.Fault.REPLY_LOST}
    )
    assert isinstance(outcome, core.Executed)
    assert calls == [
        fake_claims.Write,
        fake_claims.Read,
        fake_claims.Send,
        fake_claims.Write,
    ]


def test_delayed_claim_is_fenced_and_a_repeat_runs():
    """A claim must not take effect after "not run" was answered."""
    simulation = fake_claims.Simulation()
    outcome, calls = _run_to_end(simulation, {1: fake_claims.Fault.DELAYED})
    assert outcome == core.Refused(core.NotRunReason.PLATFORM_UNAVAILABLE)
    assert calls == [fake_claims.Write, fake_claims.Read, fake_claims.Write]
    assert isinstance(
        fake_claims.apply_write(simulation, simulation.delayed[0]),
        core.ClaimConflict,
    )
    assert isinstance(_run_to_end(simulation, {})[0], core.Executed)


def test_shed_order_can_be_retried():
    """A claim must be released if the replica rejected the order."""
    simulation = fake_claims.Simulation()
    outcome, _ = _run_to_end(simulation, {2: fake_claims.Fault.REFUSED})
    assert outcome == core.Refused(core.NotRunReason.SHED)
    assert isinstance(_run_to_end(simulation, {})[0], core.Executed)


def test_repeat_paused_past_the_lease_of_the_first_claim_is_not_refused():
    """A repeat must not be refused after a pause that outlasts the claim.

    The repeat is sent within 23 h of the first attempt, paused for an hour,
    and then creates a claim of its own because the first has expired.
    """
    simulation = fake_claims.Simulation()
    assert isinstance(_run_to_end(simulation, {})[0], core.Executed)
    simulation.now = core.LEASE_TTL - 100.0 - 3600.0
    req = core.OrderRequest(
        fake_claims.make_id(fake_claims.START_WALL_TIME, 1),
        fake_claims.CONTRACT.contract_id,
        fake_claims.INDEX,
        'b',
    )
    coro = orders.run_order(
        fake_claims.make_dependencies(simulation, 'n1'), req, ''
    )
    attempt = fake_claims.Attempt(coro, req.request_id, False, coro.send(None))
    simulation.now += 3700.0
    fake_claims.delete_expired_claims(simulation)
    none = fake_claims.Fault.NONE
    attempt.call = coro.send(
        fake_claims.answer_write(simulation, attempt.call, none)
    )
    with pytest.raises(StopIteration) as stop:
        coro.send(fake_claims.answer_write(simulation, attempt.call, none))
    assert stop.value.value == core.Unknown(core.UnknownReason.NOT_CHECKED)

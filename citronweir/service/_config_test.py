"""Stateful test of the configuration of several nodes with one store."""

import asyncio
import collections
import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from citronweir import core
from citronweir import metastore
from citronweir.service import _changes as changes
from citronweir.service import _config as configs

ACTIVE = core.ContractState.ACTIVE
NODES = range(4)
IDS = ('a', 'b')
# Small pages, so that most transfers need several.
PAGE_CHARS = 600
# Smaller than the tested distances between start, expiry and now.
CLOCK_ERRORS = (0.0, -2.0, 3.0, 0.5)
# Most writes succeed, so that histories are long enough to be reordered.
WRITE_FAULTS = [None] * 8 + ['reply lost', 'request lost', 'delayed', 'down']


class Store:
    """Key-value store that keeps its whole history."""

    def __init__(self):
        self.history = []
        self.delayed = []

    @property
    def revision(self):
        return core.Revision(len(self.history))

    def read(self, revision=None, since=0):
        """Returns the records newer than ``since`` as of ``revision``."""
        at = self.revision if revision is None else revision
        found = {item.key: item for item in self.history[:at]}
        return tuple(x for x in found.values() if x.revision > since)

    def write(self, key, value, expected):
        current = {item.key: item for item in self.read()}.get(key)
        if (current.revision if current else 0) != expected:
            return core.StoreConflict(current)
        revision = core.Revision(self.revision + 1)
        self.history.append(core.ConfigRecord(key, value, revision))
        return core.StoreWritten(revision)


class Node:
    """One node, whose dependencies act on the simulated fleet."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.restart()

    def restart(self):
        self.config = configs.Configuration()
        self.seen = {}
        self.fault, self.faulty_writes, self.competing_value = None, 0, None
        self.peer, self.pages_left = None, 1000

    def deps(self):
        return configs.ConfigDependencies(
            now=lambda: self.world.time,
            wall_now=lambda: self.world.time + CLOCK_ERRORS[self.number],
            boot_now=lambda: self.world.time,
            sleep=self.sleep,
            rng=random.Random(self.number),
            decode=metastore.decode_record,
            encode=metastore.encode_record,
            read_all=self.read_all,
            read_one=self.read_one,
            write=self.write,
            watch=self.watch,
            pick_peer=lambda: self.ask_peer,
            push_local=lambda batch: self.world.push(self, batch, 'dc'),
            push_remote=lambda batch: self.world.push(self, batch, 'far'),
            is_watcher=lambda: True,
        )

    async def sleep(self, seconds):
        self.world.time += seconds

    async def read_all(self):
        if self.number in self.world.cut:
            return core.StoreError('down')
        revision = max(self.world.store.revision - self.world.lag, 0)
        records = self.world.store.read(revision)
        return core.ConfigBatch(records, core.Revision(revision))

    async def read_one(self, key):
        if self.number in self.world.cut or self.fault == 'down':
            return core.StoreError('down')
        records = {item.key: item for item in self.world.store.read()}
        return records.get(key)

    async def write(self, key, value, expected):
        store = self.world.store
        if self.competing_value:
            store.write(key, self.competing_value, expected)
            self.competing_value = None
        self.faulty_writes -= 1
        if self.faulty_writes < 0:
            return store.write(key, value, expected)
        if self.fault == 'reply lost':
            store.write(key, value, expected)
        if self.fault == 'delayed':
            store.delayed.append((key, value, expected))
        return core.StoreError('no reply')

    async def watch(self, since):
        store = self.world.store
        for end in range(since + 1, store.revision + 1):
            yield core.ConfigBatch((store.history[end - 1],), end)
        yield core.StoreError('closed')

    async def ask_peer(self, since):
        world, peer = self.world, self.peer
        if peer is None or world.are_cut(self.number, peer):
            return None
        other = world.nodes[peer]
        self.pages_left -= 1
        if not other.config.ready or self.pages_left < 0:
            return None
        age = configs.config_age(other.deps(), other.config)
        return core.collect_newer_records(
            other.config.state, since, age, PAGE_CHARS
        )


class Fleet(stateful.RuleBasedStateMachine):
    """Several nodes, one store, and faults between them."""

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.time = 1000.0
        self.lag = 0
        self.cut = frozenset()
        self.in_flight, self.pushes = [], []
        self.sent = {}
        self.outcomes = collections.defaultdict(set)
        self.nodes = [Node(self, number) for number in NODES]
        for node in self.nodes:
            self.run(configs.load_config(node.deps(), node.config))

    def run(self, coro):
        loop = asyncio.new_event_loop()
        try:
            return loop.run_until_complete(coro)
        finally:
            loop.close()

    def are_cut(self, one, other):
        return (one in self.cut) != (other in self.cut)

    def push(self, node, batch, link):
        self.pushes.append(link)
        self.in_flight += [
            (node.number, other, batch)
            for other in NODES
            if other != node.number
        ]

    def _run_change(self, node, change):
        outcome = self.run(
            changes.run_change(node.deps(), node.config, change)
        )
        self.outcomes[change.change_id].add(type(outcome))
        node.fault, node.faulty_writes, node.competing_value = None, 0, None

    @stateful.rule(
        number=st.sampled_from(NODES),
        name=st.sampled_from(IDS),
        start_offset=st.integers(-5, 20),
        kind=st.sampled_from(('terms', 'terms', 'terms', 'drain', 'withdraw')),
        revisions_behind=st.sampled_from((0, 0, 0, 0, 1)),
        fault=st.sampled_from(WRITE_FAULTS),
        faulty_writes=st.sampled_from((1, 1000)),
        has_competing_write=st.sampled_from((False, False, False, True)),
    )
    def change(
        self,
        number,
        name,
        start_offset,
        kind,
        revisions_behind,
        fault,
        faulty_writes,
        has_competing_write,
    ):
        node = self.nodes[number]
        start = self.time + start_offset
        target = core.Contract(
            core.ContractId(name), core.Rank.URGENT, 1.0, start, start + 30
        )
        if kind == 'withdraw':
            target = core.Withdrawal(core.ContractId(name))
        if kind == 'drain':
            target = core.Drain(core.ReplicaId(name), start_offset > 0)
        key = core.config_key(target)
        known = {item.key: item.revision for item in self.store.read()}
        expected = core.Revision(max(known.get(key, 0) - revisions_behind, 0))
        change_id = core.ChangeId(f'id{len(self.sent)}')
        node.fault, node.faulty_writes = fault, faulty_writes if fault else 0
        if has_competing_write and kind == 'terms':
            competing_record = core.ConfigRecord(
                key,
                '',
                0,
                (core.ChangeId(f'rival{len(self.sent)}'),),
                0,
                target,
            )
            node.competing_value = metastore.encode_record(competing_record)
        self.sent[change_id] = core.Change(change_id, expected, target)
        self._run_change(node, self.sent[change_id])

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(number=st.sampled_from(NODES), choice=st.randoms())
    def repeat_change(self, number, choice):
        # A record keeps a bounded number of change ids; older ones are not
        # recognised, so they are not repeated.
        recent = list(self.sent.values())[-4:]
        self._run_change(self.nodes[number], choice.choice(recent))

    @stateful.rule()
    def delayed_writes_arrive(self):
        for key, value, expected in self.store.delayed:
            self.store.write(key, value, expected)
        self.store.delayed = []

    @stateful.rule(number=st.sampled_from(NODES), positions=st.data())
    def events_arrive_in_any_order(self, number, positions):
        lo = positions.draw(st.integers(0, self.store.revision))
        hi = positions.draw(st.integers(lo, self.store.revision))
        batch = core.ConfigBatch(tuple(self.store.history[lo:hi]), hi, lo)
        self._receive(number, batch, configs.RecordSource.STORE)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(choice=st.randoms(), is_duplicated=st.booleans())
    def push_arrives(self, choice, is_duplicated):
        position = choice.randrange(len(self.in_flight))
        sender, number, batch = self.in_flight[position]
        if not is_duplicated:
            del self.in_flight[position]
        if not self.are_cut(sender, number):
            source = configs.RecordSource.LOCAL_PEER
            self._receive(number, batch, source)

    def _receive(self, number, batch, source):
        node = self.nodes[number]
        configs.receive_records(node.deps(), node.config, batch, source)

    @stateful.rule(number=st.sampled_from(NODES), lag=st.integers(0, 3))
    def watch(self, number, lag):
        node, self.lag = self.nodes[number], lag
        self.run(configs.watch_once(node.deps(), node.config))
        self.lag = 0

    @stateful.rule(
        number=st.sampled_from(NODES),
        peer=st.sampled_from(NODES),
        pages_left=st.integers(1, 4),
    )
    def sync(self, number, peer, pages_left=1000):
        node = self.nodes[number]
        node.peer, node.pages_left = peer, pages_left
        self.run(configs.sync_config(node.deps(), node.config))

    @stateful.rule(
        number=st.sampled_from(NODES),
        peer=st.sampled_from((None, *NODES)),
        pages_left=st.integers(1, 4),
        lag=st.integers(0, 3),
    )
    def restart(self, number, peer, pages_left, lag):
        node = self.nodes[number]
        node.restart()
        node.pages_left = pages_left
        # A node that reaches neither peers nor the store cannot start, so
        # its partition is healed first.
        self.cut -= {number}
        node.peer, self.lag = peer, lag
        self.run(configs.load_config(node.deps(), node.config))
        self.lag = 0

    @stateful.rule(cut=st.frozensets(st.sampled_from(NODES)))
    def partition(self, cut):
        self.cut = cut

    @stateful.rule(seconds=st.integers(1, 20))
    def time_passes(self, seconds):
        self.time += seconds

    @stateful.invariant()
    def records_never_go_back(self):
        for node in self.nodes:
            for key, record in node.config.state.records.items():
                assert record.revision >= node.seen.get(key, 0)
                node.seen[key] = record.revision
            assert node.seen.keys() <= node.config.state.records.keys()

    @stateful.invariant()
    def contracts_are_in_force_by_their_times(self):
        for node in self.nodes:
            now = self.time + CLOCK_ERRORS[node.number]
            expected = []
            for record in node.config.state.records.values():
                stored = self.store.history[record.revision - 1]
                body = metastore.decode_record(stored)[0].body
                active = getattr(body, 'state', None) is ACTIVE
                if active and body.start <= now and not body.expiry <= now:
                    expected.append(body.contract_id)
            found = core.contracts_in_force(node.config.state, now)
            assert [item.contract_id for item in found] == sorted(expected)

    @stateful.invariant()
    def changes_have_one_durable_effect(self):
        effects = collections.Counter(
            metastore.decode_record(item)[0].change_ids[-1]
            for item in self.store.history
        )
        assert all(count == 1 for count in effects.values())
        for change_id, outcomes in self.outcomes.items():
            if core.ChangeAccepted in outcomes:
                assert effects[change_id] == 1
            if outcomes <= {core.ChangeConflict, core.ChangeInvalid}:
                assert effects[change_id] == 0

    def teardown(self):
        self.cut, self.in_flight = frozenset(), []
        first = self.nodes[0]
        self.run(configs.watch_once(first.deps(), first.config))
        for _ in NODES:
            for number in NODES:
                self.sync(number, (number + 1) % len(NODES))
        expected = {item.key: item.revision for item in self.store.read()}
        for node in self.nodes:
            records = node.config.state.records
            found = {key: item.revision for key, item in records.items()}
            assert found == expected


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    hypothesis.settings.default, max_examples=150, stateful_step_count=40
)


def _prepare():
    fleet = Fleet()
    contract = core.Contract(
        core.ContractId('a'), core.Rank.URGENT, 1.0, 0.0, 5000.0
    )
    change = core.Change(core.ChangeId('x'), core.NO_REVISION, contract)
    return fleet, fleet.nodes[0], change


def _run(fleet, node, change):
    return fleet.run(changes.run_change(node.deps(), node.config, change))


def test_new_records_are_forwarded_once():
    """Guards against a change that is not forwarded, or more than once."""
    fleet, node, change = _prepare()
    _run(fleet, node, change)
    assert fleet.pushes == ['dc', 'far']
    _, number, batch = fleet.in_flight[0]
    fleet.pushes.clear()
    fleet._receive(number, batch, configs.RecordSource.LOCAL_PEER)
    assert not fleet.pushes
    fleet._receive(2, batch, configs.RecordSource.REMOTE_PEER)
    fleet._receive(2, batch, configs.RecordSource.REMOTE_PEER)
    assert fleet.pushes == ['dc']


def test_lost_reply_is_read_back():
    """Guards against a reported conflict with the operator's own write."""
    fleet, node, change = _prepare()
    node.fault, node.faulty_writes = 'reply lost', 1
    outcome = _run(fleet, node, change)
    assert isinstance(outcome, core.ChangeAccepted)
    assert outcome.record.revision == 1


def test_unknown_outcome_is_settled_by_a_repeat():
    """Guards against a second effect when a delayed write is repeated."""
    fleet, node, change = _prepare()
    node.fault, node.faulty_writes = 'delayed', 1000
    started = fleet.time
    assert _run(fleet, node, change) == core.ChangeUnknown(core.ChangeId('x'))
    assert fleet.time - started <= changes.CHANGE_TIMEOUT
    node.fault, node.faulty_writes = None, 0
    fleet.delayed_writes_arrive()
    assert isinstance(_run(fleet, node, change), core.ChangeAccepted)
    assert fleet.store.revision == 1


def test_change_without_store_is_not_made():
    """Guards against an unknown outcome although no write was sent."""
    fleet, node, change = _prepare()
    fleet.cut = frozenset({0})
    assert isinstance(_run(fleet, node, change), core.ChangeUnavailable)


def test_age_is_carried_along():
    """Guards against a cut-off node that reports a fresh configuration."""
    fleet, node, _ = _prepare()
    fleet.time += 50
    fleet.cut = frozenset({0})
    fleet.sync(0, 1)
    assert configs.config_age(node.deps(), node.config) >= 50
    fleet.cut = frozenset()
    fleet.run(configs.watch_once(fleet.nodes[1].deps(), fleet.nodes[1].config))
    fleet.sync(0, 1)
    assert configs.config_age(node.deps(), node.config) < 1


def test_stale_node_fetches_everything():
    """Guards against a stale node keeping a contract compacted elsewhere."""
    fleet, node, change = _prepare()
    _run(fleet, node, change)
    fleet.run(configs.watch_once(node.deps(), node.config))
    key = core.config_key(change.target)
    other = fleet.nodes[1]
    fleet.time += core.RETENTION
    other.config.state = core.ConfigState({}, core.Revision(7))
    other.config.confirmed_boot = fleet.time
    fleet.sync(0, 1)
    assert key not in node.config.state.records


def test_unexpected_error_does_not_end_the_load():
    """Guards a starting node against an entry that no code expected."""
    fleet = Fleet()
    node = fleet.nodes[0]
    config, failures = configs.Configuration(), [OverflowError(), None]
    deps = node.deps()

    async def read_all():
        error = failures.pop(0)
        if error is not None:
            raise error
        return await deps.read_all()

    failing = dataclasses.replace(
        deps, read_all=read_all, pick_peer=lambda: None
    )
    fleet.run(configs.load_config(failing, config))
    assert config.ready and not failures


def test_backoff_is_drawn_from_the_whole_span():
    """Guards against nodes that reconnect in step after an outage."""
    rng = random.Random(1)
    waits = [configs.draw_backoff(rng, 20) for _ in range(200)]
    assert min(waits) < 1
    assert configs.MAX_BACKOFF - 1 < max(waits) <= configs.MAX_BACKOFF

"""Converts between the operators' messages and the core types."""

from collections import abc
import typing

from google.protobuf import timestamp_pb2

from citronweir import core
from citronweir.operators import operators_pb2 as pb

DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 500

_RANKS_BY_NUMBER: typing.Final = {
    pb.RANK_URGENT: core.Rank.URGENT,
    pb.RANK_ORDINARY: core.Rank.ORDINARY,
    pb.RANK_DEFERRABLE: core.Rank.DEFERRABLE,
}
_RANK_NUMBERS: typing.Final = {
    rank: num for num, rank in _RANKS_BY_NUMBER.items()
}
_STATE_NUMBERS: typing.Final = {
    core.ContractState.ACTIVE: pb.CONTRACT_STATE_ACTIVE,
    core.ContractState.WITHDRAWN: pb.CONTRACT_STATE_WITHDRAWN,
}

# Range of a protobuf Timestamp in Unix seconds: the years 1 to 9999.
_MIN_TIMESTAMP = -62135596800
_MAX_TIMESTAMP = 253402300799

Decoded = tuple[core.Change | None, list[core.FieldError]]


def decode_create(msg: pb.CreateContractRequest) -> Decoded:
    """Decodes a request to create a contract."""
    return _decode_contract(msg, core.NO_REVISION)


def decode_amend(msg: pb.AmendContractRequest) -> Decoded:
    """Decodes a request to replace the terms of a contract."""
    errors = _check_expected_revision(msg)
    change, found = _decode_contract(msg, msg.expected_revision)
    return (None if errors else change), errors + found


def decode_withdraw(msg: pb.WithdrawContractRequest) -> Decoded:
    """Decodes a request to withdraw a contract."""
    errors = _check_expected_revision(msg)
    target = core.Withdrawal(core.ContractId(msg.contract_id))
    change = _make_change(msg, msg.expected_revision, target)
    return (None if errors else change), errors


def decode_settings(msg: pb.ChangeSettingsRequest) -> Decoded:
    """Decodes a request to change the fleet settings."""
    if not msg.HasField('settings'):
        return None, [core.FieldError('settings', 'is required')]
    settings = core.FleetSettings(
        {
            core.Rank.URGENT: msg.settings.urgent_share,
            core.Rank.ORDINARY: msg.settings.ordinary_share,
            core.Rank.DEFERRABLE: msg.settings.deferrable_share,
        },
        msg.settings.hedge_budget,
        msg.settings.retry_budget,
    )
    return _make_change(msg, msg.expected_revision, settings), []


def decode_drain(msg: pb.DrainUpstreamRequest) -> Decoded:
    """Decodes a request to drain a replica."""
    target = core.Drain(core.ReplicaId(msg.replica_id), True)
    return _make_change(msg, msg.expected_revision, target), []


def decode_undrain(msg: pb.UndrainUpstreamRequest) -> Decoded:
    """Decodes a request to end the drain of a replica."""
    target = core.Drain(core.ReplicaId(msg.replica_id), False)
    return _make_change(msg, msg.expected_revision, target), []


def encode_record(
    record: core.ConfigRecord,
) -> pb.ContractRecord | pb.SettingsRecord | pb.DrainRecord:
    """Encodes a record as the reply to a change of it.

    Raises:
        ValueError: The record has no decoded body.
    """
    match record.body:
        case core.Contract():
            return encode_contract(record.body, record.revision)
        case core.FleetSettings():
            return encode_settings(record.body, record.revision)
        case core.Drain(replica_id, drained):
            return pb.DrainRecord(
                replica_id=replica_id,
                drained=drained,
                revision=record.revision,
            )
    raise ValueError(f'record {record.key} has no decoded body')


def encode_contract(
    contract: core.Contract, revision: core.Revision
) -> pb.ContractRecord:
    """Encodes a contract with its revision."""
    return pb.ContractRecord(
        contract=pb.Contract(
            contract_id=contract.contract_id,
            rank=_RANK_NUMBERS[contract.rank],
            latency_target_seconds=contract.latency_target,
            start=_encode_time(contract.start),
            expiry=_encode_time(contract.expiry),
            batch=contract.batch,
        ),
        state=_STATE_NUMBERS[contract.state],
        revision=revision,
    )


def encode_settings(
    settings: core.FleetSettings, revision: core.Revision
) -> pb.SettingsRecord:
    """Encodes the fleet settings with their revision."""
    return pb.SettingsRecord(
        settings=pb.FleetSettings(
            urgent_share=settings.shares[core.Rank.URGENT],
            ordinary_share=settings.shares[core.Rank.ORDINARY],
            deferrable_share=settings.shares[core.Rank.DEFERRABLE],
            hedge_budget=settings.hedge_budget,
            retry_budget=settings.retry_budget,
        ),
        revision=revision,
    )


def encode_page(
    msg: pb.ListContractsRequest,
    records: abc.Mapping[core.ConfigKey, core.ConfigRecord],
) -> tuple[pb.ListContractsReply | None, list[core.FieldError]]:
    """Encodes a page of the contracts, sorted by id.

    Args:
        msg: Request with the page size and page token.
        records: Configuration records of the node.

    Returns:
        The page, or None and the errors of the invalid fields.
    """
    if not 0 <= msg.page_size <= MAX_PAGE_SIZE:
        text = (
            f'must be from 1 to {MAX_PAGE_SIZE}, or 0 for {DEFAULT_PAGE_SIZE}'
        )
        return None, [core.FieldError('page_size', text)]
    found = sorted(
        (record.body.contract_id, record.revision, record.body)
        for record in records.values()
        if isinstance(record.body, core.Contract)
        and record.body.contract_id > msg.page_token
    )
    size = msg.page_size or DEFAULT_PAGE_SIZE
    page = found[:size]
    return pb.ListContractsReply(
        contracts=[
            encode_contract(contract, revision)
            for _, revision, contract in page
        ],
        next_page_token=page[-1][0] if len(found) > size else '',
    ), []


def encode_status(status: core.NodeStatus) -> pb.Status:
    """Encodes the status of a node."""
    is_age_known = status.config_age != float('inf')
    return pb.Status(
        node_id=status.node_id,
        data_centre=status.dc,
        incarnation=status.incarnation,
        config_revision=status.revision,
        config_age_seconds=round(status.config_age, 3)
        if is_age_known
        else None,
        members=[
            pb.Member(
                node_id=member.node_id,
                data_centre=member.dc,
                address=f'{member.address.host}:{member.address.port}',
                state=member.state.value,
                incarnation=member.incarnation,
            )
            for member in status.members
        ],
        replicas=[
            pb.Replica(
                replica_id=replica.replica_id,
                address=f'{replica.address.host}:{replica.address.port}',
                state=replica.state.value,
                epoch=replica.epoch,
            )
            for replica in status.replicas
        ],
        stopping=status.stopping,
    )


def _make_change(msg, expected, target):
    return core.Change(
        core.ChangeId(msg.change_id), core.Revision(expected), target
    )


def _check_expected_revision(msg):
    if msg.expected_revision > 0:
        return []
    return [core.FieldError('expected_revision', 'must be above 0')]


def _decode_contract(msg, expected):
    terms = msg.contract
    errors = [
        core.FieldError(name, 'is required')
        for name in ('start', 'expiry')
        if not terms.HasField(name)
    ]
    if terms.rank not in _RANKS_BY_NUMBER:
        errors.append(core.FieldError('rank', 'must be one of the ranks'))
    if errors:
        return None, errors
    contract = core.Contract(
        core.ContractId(terms.contract_id),
        _RANKS_BY_NUMBER[terms.rank],
        terms.latency_target_seconds,
        _decode_time(terms.start),
        _decode_time(terms.expiry),
        terms.batch,
    )
    return _make_change(msg, expected, contract), []


def _decode_time(timestamp):
    return timestamp.seconds + timestamp.nanos / 1e9


def _encode_time(seconds):
    timestamp = timestamp_pb2.Timestamp()
    # A double holds present-day times only to about a microsecond.
    clamped = min(max(seconds, _MIN_TIMESTAMP), _MAX_TIMESTAMP)
    timestamp.FromMicroseconds(round(clamped * 1e6))
    return timestamp

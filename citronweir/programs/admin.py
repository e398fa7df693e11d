"""citronweir-admin: changes and queries by operators.

A change names the revision that you expect the record to have, so that
two operators cannot overwrite each other's changes unnoticed; `get`
prints it. A change also has a change id. If the outcome of a change is
unknown (status 4), repeat the command with the change id that it
printed: the change then takes effect once.

The operators' key is read from the environment variable
CITRONWEIR_OPERATOR_KEY or from a file (--key-file), never from the
command line, where other users of the VM could see it.

Exit status: 0 done; 2 wrong usage or fields, or no such contract;
3 conflict: another change came first, read the record again; 4 unknown
outcome: repeat with the same change id; 5 unavailable, nothing was
changed; 6 not authorised.
"""

import dataclasses
import datetime
import sys

import cyclopts
from google.protobuf import timestamp_pb2

from citronweir import core
from citronweir.operators import messages
from citronweir.programs import _calls as calls

app = cyclopts.App(name='citronweir-admin', help=__doc__)
contract_app = cyclopts.App(name='contract', help='Contracts.')
settings_app = cyclopts.App(name='settings', help='Settings of the fleet.')
app.command(contract_app)
app.command(settings_app)


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Terms of a contract.

    Attributes:
        rank: Rank of its requests.
        latency_ms: Milliseconds within which answers are due.
        start: Time from which it is in force, such as
            2026-12-01T00:00:00Z.
        expiry: Time from which it is no longer in force.
        batch: Name of the batch that it belongs to.
    """

    rank: core.Rank
    latency_ms: float
    start: str
    expiry: str
    batch: str = ''


@contract_app.command(name='create')
def create_contract(
    contract_id: str,
    terms: Terms,
    target: calls.Target,
    *,
    change_id: str | None = None,
) -> int:
    """Creates a contract.

    Args:
        contract_id: Id of the new contract, never used before.
        terms: Terms of the contract.
        target: Where the call goes.
        change_id: Id of the change; a new one if not given.

    Returns:
        Exit status, see --help of the program.
    """
    contract = _make_contract(contract_id, terms)
    if contract is None:
        return calls.EXIT_USAGE
    return calls.send_change(
        target,
        'CreateContract',
        messages.CreateContractRequest(contract=contract),
        change_id,
    )


@contract_app.command(name='amend')
def amend_contract(
    contract_id: str,
    terms: Terms,
    target: calls.Target,
    *,
    expected: int,
    change_id: str | None = None,
) -> int:
    """Replaces all terms of a contract.

    Args:
        contract_id: Id of the contract.
        terms: New terms of the contract.
        target: Where the call goes.
        expected: Revision that `contract get` printed.
        change_id: Id of the change; a new one if not given.

    Returns:
        Exit status, see --help of the program.
    """
    contract = _make_contract(contract_id, terms)
    if contract is None:
        return calls.EXIT_USAGE
    msg = messages.AmendContractRequest(
        contract=contract, expected_revision=expected
    )
    return calls.send_change(target, 'AmendContract', msg, change_id)


@contract_app.command(name='withdraw')
def withdraw_contract(
    contract_id: str,
    target: calls.Target,
    *,
    expected: int,
    change_id: str | None = None,
) -> int:
    """Withdraws a contract permanently before its expiry.

    Args:
        contract_id: Id of the contract.
        target: Where the call goes.
        expected: Revision that `contract get` printed.
        change_id: Id of the change; a new one if not given.

    Returns:
        Exit status, see --help of the program.
    """
    msg = messages.WithdrawContractRequest(
        contract_id=contract_id, expected_revision=expected
    )
    return calls.send_change(target, 'WithdrawContract', msg, change_id)


@contract_app.command(name='get')
def get_contract(contract_id: str, target: calls.Target) -> int:
    """Prints a contract and its revision.

    Args:
        contract_id: Id of the contract.
        target: Where the call goes.

    Returns:
        Exit status, see --help of the program.
    """
    msg = messages.GetContractRequest(contract_id=contract_id)
    return calls.send_query(target, 'GetContract', msg)


@contract_app.command(name='list')
def list_contracts(
    target: calls.Target, *, page_size: int = 100, page_token: str = ''
) -> int:
    """Prints a page of the contracts in the order of their ids.

    Args:
        target: Where the call goes.
        page_size: Maximum number of contracts, from 1 to 500.
        page_token: `nextPageToken` of the previous page.

    Returns:
        Exit status, see --help of the program.
    """
    msg = messages.ListContractsRequest(
        page_size=page_size, page_token=page_token
    )
    return calls.send_query(target, 'ListContracts', msg)


@settings_app.command(name='get')
def get_settings(target: calls.Target) -> int:
    """Prints the fleet settings and their revision.

    Args:
        target: Where the call goes.

    Returns:
        Exit status, see --help of the program.
    """
    return calls.send_query(
        target, 'GetSettings', messages.GetSettingsRequest()
    )


@settings_app.command(name='change')
def change_settings(
    target: calls.Target,
    *,
    urgent: float,
    ordinary: float,
    deferrable: float,
    hedges: float,
    retries: float,
    expected: int,
    change_id: str | None = None,
) -> int:
    """Replaces the fleet settings.

    Args:
        target: Where the call goes.
        urgent: Share of urgent work; the three shares add up to 1.
        ordinary: Share of ordinary work.
        deferrable: Share of deferrable work.
        hedges: Hedges as a share of sub-requests, such as 0.05.
        retries: Hedges and retries together as a share of sub-requests, such
            as 0.1.
        expected: Revision that `settings get` printed.
        change_id: Id of the change; a new one if not given.

    Returns:
        Exit status, see --help of the program.
    """
    msg = messages.ChangeSettingsRequest(
        expected_revision=expected,
        settings=messages.FleetSettings(
            urgent_share=urgent,
            ordinary_share=ordinary,
            deferrable_share=deferrable,
            hedge_budget=hedges,
            retry_budget=retries,
        ),
    )
    return calls.send_change(target, 'ChangeSettings', msg, change_id)


@app.command
def drain(
    replica_id: str,
    target: calls.Target,
    *,
    expected: int = 0,
    change_id: str | None = None,
) -> int:
    """Drains a replica: it receives no new work.

    Args:
        replica_id: Id of the replica.
        target: Where the call goes.
        expected: Revision of its last drain record, 0 for none; a
            conflict names it.
        change_id: Id of the change; a new one if not given.

    Returns:
        Exit status, see --help of the program.
    """
    msg = messages.DrainUpstreamRequest(
        replica_id=replica_id, expected_revision=expected
    )
    return calls.send_change(target, 'DrainUpstream', msg, change_id)


@app.command
def undrain(
    replica_id: str,
    target: calls.Target,
    *,
    expected: int,
    change_id: str | None = None,
) -> int:
    """Ends the drain of a replica: it receives work again.

    Args:
        replica_id: Id of the replica.
        target: Where the call goes.
        expected: Revision that `drain` printed.
        change_id: Id of the change; a new one if not given.

    Returns:
        Exit status, see --help of the program.
    """
    msg = messages.UndrainUpstreamRequest(
        replica_id=replica_id, expected_revision=expected
    )
    return calls.send_change(target, 'UndrainUpstream', msg, change_id)


@app.command
def status(target: calls.Target) -> int:
    """Prints the status of a node.

    Args:
        target: Where the call goes.

    Returns:
        Exit status, see --help of the program.
    """
    return calls.send_query(target, 'GetStatus', messages.GetStatusRequest())


def main() -> None:
    """Entry point of the program."""
    try:
        sys.exit(app(exit_on_error=False))
    except cyclopts.CycloptsError:
        sys.exit(calls.EXIT_USAGE)


def _make_contract(contract_id, terms):
    try:
        start, expiry = _parse_time(terms.start), _parse_time(terms.expiry)
    except ValueError as exc:
        print(f'start or expiry: {exc}', file=sys.stderr)
        return None
    return messages.Contract(
        contract_id=contract_id,
        rank=messages.Rank.Value(f'RANK_{terms.rank.name}'),
        latency_target_seconds=terms.latency_ms / 1000,
        start=start,
        expiry=expiry,
        batch=terms.batch,
    )


def _parse_time(text):
    when = datetime.datetime.fromisoformat(text)
    if when.tzinfo is None:
        raise ValueError(f'{text} lacks a UTC offset such as Z')
    stamp = timestamp_pb2.Timestamp()
    stamp.FromDatetime(when)
    return stamp


if __name__ == '__main__':
    main()

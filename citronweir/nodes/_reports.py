"""Encodes and decodes reports about requests at replicas.

A report says that a replica ended during a request or answered it.
"""

from citronweir import core
from citronweir.nodes import _messages as messages
from citronweir.nodes import _records as records

# Enum members are encoded as positions in this tuple. Append only.
_KINDS = (core.ReportKind.ENDED, core.ReportKind.ANSWERED)


def encode_reports(message: messages.Reports, now: float) -> dict:
    """Encodes reports, with their times as ages in seconds."""
    return {
        'r': [
            [
                _KINDS.index(report.kind),
                report.fingerprint,
                report.caller,
                report.service,
                report.request_id,
                report.replica_id,
                max(0.0, now - seen_at),
            ]
            for report, seen_at in message.reports
        ]
    }


def decode_reports(fields: dict, now: float) -> messages.Reports:
    """Decodes reports.

    Raises:
        KeyError: A field is missing.
        RecordError: A field has the wrong type.
        ValueError: A report is too short.
    """
    rows = records.check_list(fields['r'])
    return messages.Reports(tuple(_decode_row(row, now) for row in rows))


def _decode_row(row, now):
    kind, fingerprint, caller, service, request_id, replica_id, age, *_ = (
        records.check_list(row)
    )
    report = core.ReplicaReport(
        records.decode_enum(_KINDS, kind),
        core.Fingerprint(records.check_str(fingerprint)),
        core.CallerId(records.check_str(caller)),
        core.ServiceName(records.check_str(service)),
        core.RequestId(records.check_str(request_id)),
        core.ReplicaId(records.check_str(replica_id)),
    )
    return report, now - max(0.0, records.check_nonnegative(age))

"""Builders of test data with defaults for fields that a test omits."""

from __future__ import annotations

import json
import typing

from banyantrack.core import codec
from banyantrack.core import documents
from banyantrack.generated.intent import ttypes as intent
from banyantrack.generated.replication import ttypes as replication
from banyantrack.intent import objects

Kind = intent.ObjectKind


def member(name: str, *, port: int = 1) -> replication.Member:
    """Returns a member of a replication group."""
    return replication.Member(
        member_id=name,
        name=name,
        address=f'127.0.0.1:{port}',
        service_address=f'127.0.0.1:{port + 1000}',
    )


def log_entry(
    index: int, *, term: int = 1, payload: bytes = b'x'
) -> replication.LogEntry:
    """Returns a log entry that holds a command."""
    return replication.LogEntry(
        term=term,
        index=index,
        kind=replication.EntryKind.COMMAND,
        payload=payload,
    )


def stored(
    plural: str, name: str, **fields: typing.Any
) -> intent.StoredObject:
    """Returns a stored object with defaults for missing fields.

    Args:
        plural: Plural name of its kind, such as `jobs`.
        name: Its name.
        **fields: Fields of its body.
    """
    kind = objects.KIND_BY_PLURAL[plural]
    body = documents.model('intent').make(kind.struct, **fields)
    return objects.make(kind, name, body)


def customer(name: str = 'acme', **fields: typing.Any) -> intent.StoredObject:
    """Returns a customer."""
    return stored('customers', name, **fields)


def guarantee(
    name: str = 'share',
    *,
    customer: str = 'acme',
    accelerators: int = 8,
    **fields: typing.Any,
) -> intent.StoredObject:
    """Returns a guarantee."""
    return stored(
        'guarantees',
        name,
        customer=customer,
        accelerators=accelerators,
        **fields,
    )


def job(
    name: str = 'train', *, customer: str = 'acme', **fields: typing.Any
) -> intent.StoredObject:
    """Returns a job."""
    return stored('jobs', name, customer=customer, **fields)


def route(
    name: str = 'seats', *, prefix: str = '/seats', **fields: typing.Any
) -> intent.StoredObject:
    """Returns a route."""
    return stored('routes', name, prefix=prefix, **fields)


def labels(plural: str, name: str, **values: str) -> intent.StoredObject:
    """Returns the labels of a worker or backend."""
    body = intent.LabelSet(labels=values)
    return objects.make(objects.KIND_BY_PLURAL[plural], name, body)


def change(target: intent.StoredObject, *, if_match: int = 0) -> intent.Change:
    """Returns a change of one object; if_match 0 means any revision."""
    return intent.Change(object=target, if_match=if_match)


def apply_command(
    *targets: intent.StoredObject,
    if_match: int = 0,
    key: str = '',
    digest: str = '',
    now_ms: int = 1,
) -> bytes:
    """Returns an encoded command that applies objects.

    Args:
        *targets: The objects.
        if_match: Required revision of each object; 0 for any.
        key: Idempotency key; empty for none.
        digest: Digest of the request.
        now_ms: Time of the command.
    """
    changes = [change(target, if_match=if_match) for target in targets]
    return codec.encode(
        intent.Command(
            now_ms=now_ms,
            apply=intent.ApplyCommand(
                changes=changes, idempotency_key=key, digest=digest
            ),
        )
    )


def json_text(*targets: intent.StoredObject) -> str:
    """Returns objects as a JSON document."""
    return json.dumps([objects.to_document(target) for target in targets])

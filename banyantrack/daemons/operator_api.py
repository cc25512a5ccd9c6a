"""HTTP interface for operators, served by control members and entries."""

from __future__ import annotations

import hashlib
import json
import logging
import re
import time
import typing
import urllib.parse

from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.core import registry
from banyantrack.core import states
from banyantrack.core import untrusted
from banyantrack.daemons import leadership
from banyantrack.daemons import views
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import feed
from banyantrack.intent import objects
from banyantrack.intent import state as state_module
from banyantrack.replication import errors as replication_errors
from banyantrack.transport import problems

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.daemons import evacuation_orders
    from banyantrack.daemons import rollout as rollout_module
    from banyantrack.replication import replica as replica_module

    Handler = collections.abc.Callable[
        ['OperatorApi', cluster.OperatorRequest, dict[str, str]],
        collections.abc.Awaitable[cluster.OperatorReply],
    ]

BODY_LIMIT_BYTES = 8 * 1024 * 1024
PROPOSE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 3.0
WATCH_WAIT_S = 10.0
MAX_KEY_CHARACTERS = 200
_LOG = logging.getLogger(__name__)
Verdict = intent.Verdict

ROUTES: registry.Registry[Handler] = registry.Registry('operator route')
_KINDS = '|'.join(kind.plural for kind in objects.KINDS)
_PATTERNS: list[tuple[str, re.Pattern[str]]] = [
    ('list', re.compile(rf'/v1/(?P<kind>{_KINDS})')),
    ('object', re.compile(rf'/v1/(?P<kind>{_KINDS})/(?P<name>[^/]+)')),
    (
        'labels',
        re.compile(r'/v1/labels/(?P<of>workers|backends)/(?P<name>[^/]+)'),
    ),
    ('apply', re.compile(r'/v1/apply')),
    ('status', re.compile(r'/v1/status')),
    ('rollout', re.compile(r'/v1/rollout')),
    ('watch', re.compile(r'/v1/watch')),
    ('members', re.compile(r'/v1/members')),
    ('evacuations', re.compile(r'/v1/evacuations')),
    ('evacuation', re.compile(r'/v1/evacuations/(?P<zone>[^/]+)')),
    ('explain', re.compile(r'/v1/explain')),
]


def is_operator_path(path: str) -> bool:
    """Whether a path belongs to this interface."""
    return any(pattern.fullmatch(path) for _, pattern in _PATTERNS)


def _query_parameters(target: str) -> dict[str, str]:
    text = urllib.parse.urlsplit(target).query
    return dict(urllib.parse.parse_qsl(text))


class OperatorApi:
    """Answers operators' requests while this member leads.

    Args:
        replica: The member.
        state: The replicated state.
        placement: Placement while this member leads.
        rollout: Configuration revision of each entry.
        evacuations: Orders to evacuate availability zones.
        name_of: Returns the name of the token in an `Authorization` header;
            empty if there is none.

    Attributes:
        dry_run: Answers where a job of the platform would be placed; None
            without the platform's interface.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.IntentState,
        placement: leadership.PlacementLeadership,
        rollout: rollout_module.Rollout,
        evacuations: evacuation_orders.EvacuationOrders,
        name_of: collections.abc.Callable[[str], str],
    ) -> None:
        self.evacuations = evacuations
        self.name_of = name_of
        self.replica = replica
        self.state = state
        self.placement = placement
        self.rollout = rollout
        self.dry_run: (
            collections.abc.Callable[[bytes], dict[str, object]] | None
        ) = None

    async def answer(
        self, request: cluster.OperatorRequest
    ) -> cluster.OperatorReply:
        """Answers one request.

        Raises:
            NotLeaderError: If this member does not lead.
        """
        path = urllib.parse.unquote(urllib.parse.urlsplit(request.target).path)
        for name, pattern in _PATTERNS:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            route = f'{request.method} {name}'
            if route not in set(ROUTES):
                return problems.reply(405, f'got {request.method} for {path}')
            return await self._call_handler(
                ROUTES.get(route), request, match.groupdict()
            )
        return problems.reply(404, f'got unknown path {path}')

    async def _call_handler(
        self,
        handler: Handler,
        request: cluster.OperatorRequest,
        parameters: dict[str, str],
    ) -> cluster.OperatorReply:
        try:
            return await handler(self, request, parameters)
        except findings.FindingsError as error:
            return problems.reply(422, error.message, found=error.findings)
        except replication_errors.NotAppliedError as error:
            return problems.reply(
                503, f'not applied: {error}', headers={'retry-after': '1'}
            )
        except replication_errors.UnknownOutcomeError as error:
            return problems.reply(
                504,
                f'{error}; the request may have been applied; resend it with'
                ' the same Idempotency-Key to get its outcome',
                outcome=states.Outcome.UNKNOWN,
            )
        except replication_errors.MembershipError as error:
            return problems.reply(409, str(error))

    async def ensure_current_state(self) -> None:
        """Waits until the local state is at least as new as the request.

        Raises:
            NotLeaderError: If this member does not lead.
        """
        await self.replica.read_barrier(timeout_s=READ_TIMEOUT_S)

    async def apply(
        self,
        request: cluster.OperatorRequest,
        changes: list[intent.Change],
    ) -> intent.ApplyResult:
        """Proposes changes, which are applied all or not at all.

        Raises:
            FindingsError: If the workers cannot satisfy a new guarantee, or
                the idempotency key is too long.
            ReplicationError: If the command is not committed.
        """
        key = request.headers.get('idempotency-key', '')
        if len(key) > MAX_KEY_CHARACTERS:
            raise findings.FindingsError.of(
                'headers',
                [
                    findings.Finding(
                        'Idempotency-Key',
                        f'got {len(key)} characters; valid are at most'
                        f' {MAX_KEY_CHARACTERS}',
                    )
                ],
            )
        session = self.placement.session
        if session is None:
            raise self.replica.not_leader_error()
        if not key or self.state.key_record(key) is None:
            found = session.scheduler.check_guarantees(
                change.object for change in changes
            )
            if found:
                raise findings.FindingsError.of(
                    'guarantees that the workers cannot satisfy', found
                )
        command = intent.Command(
            now_ms=leadership.now_ms(),
            apply=intent.ApplyCommand(
                changes=changes,
                idempotency_key=key,
                digest=_digest(request),
            ),
        )
        result = await self.placement.propose(command)
        await self.placement.request_round()
        logs.event(
            _LOG,
            'change',
            method=request.method,
            target=request.target,
            verdict=Verdict._VALUES_TO_NAMES[result.verdict],
            revision=result.revision,
            replayed=result.replayed,
        )
        return result


def _digest(request: cluster.OperatorRequest) -> str:
    digest = hashlib.sha256()
    for part in (
        request.method,
        request.target,
        request.headers.get('if-match', ''),
        request.headers.get('if-none-match', ''),
    ):
        digest.update(part.encode() + b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def json_reply(
    status: int,
    document: object,
    *,
    headers: dict[str, str] | None = None,
) -> cluster.OperatorReply:
    """Returns a reply to an operator that holds a document."""
    return cluster.OperatorReply(
        status=status,
        headers={
            'content-type': 'application/json',
            'banyan-outcome': states.Outcome.DONE.value,
            **(headers or {}),
        },
        body=json.dumps(document).encode() + b'\n',
    )


def _etag(revision: int) -> dict[str, str]:
    return {'etag': f'"{revision}"'}


def _if_match(request: cluster.OperatorRequest) -> int:
    """Returns the revision that an object must have for a change.

    Returns:
        A revision, `ANY_REVISION` or `MUST_NOT_EXIST`.

    Raises:
        FindingsError: If the headers are not valid.
    """
    if request.headers.get('if-none-match', '').strip() == '*':
        return state_module.MUST_NOT_EXIST
    text = request.headers.get('if-match', '').strip()
    if text in ('', '*'):
        return state_module.ANY_REVISION
    revision = untrusted.parse_decimal(text.removeprefix('W/').strip('"'))
    if revision:
        return revision
    raise findings.FindingsError.of(
        'headers',
        [
            findings.Finding(
                'If-Match', f'got {text!r}; valid is a revision in quotes'
            )
        ],
    )


def _result_reply(
    api: OperatorApi,
    result: intent.ApplyResult,
    document: dict[str, object],
    *,
    created: bool = False,
) -> cluster.OperatorReply:
    headers = {'idempotency-replayed': 'true'} if result.replayed else {}
    match result.verdict:
        case Verdict.APPLIED:
            return json_reply(
                201 if created else 200,
                document | {'revision': result.revision},
                headers=headers | _etag(result.revision),
            )
        case Verdict.CONFLICT:
            return _conflict_reply(result, headers)
        case Verdict.INVALID:
            found = [
                findings.Finding(f.place, f.message) for f in result.findings
            ]
            return problems.reply(
                422, 'nothing was applied', found=found, headers=headers
            )
        case Verdict.KEY_MISMATCH:
            return problems.reply(
                422, 'this Idempotency-Key was used for another request'
            )
    return problems.reply(
        503,
        'the table of idempotency keys is full and its keys are too'
        ' recent to be dropped',
        headers={'retry-after': '60'},
    )


def _conflict_reply(
    result: intent.ApplyResult, headers: dict[str, str]
) -> cluster.OperatorReply:
    current = result.current
    if current is None:
        return problems.reply(
            412, 'the object does not exist', headers=headers, current=None
        )
    return problems.reply(
        412,
        f'the object is at revision {current.revision}',
        headers=headers | _etag(current.revision),
        current=objects.to_document(current),
    )


@ROUTES.register('GET list')
async def _list(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    await api.ensure_current_state()
    kind = objects.KIND_BY_PLURAL[parameters['kind']]
    listed = [
        views.object_view(api, stored)
        for stored in sorted(
            api.state.of_kind(kind.number), key=lambda stored: stored.name
        )
    ]
    return json_reply(
        200,
        {'revision': api.state.revision, 'items': listed},
        headers=_etag(api.state.revision),
    )


@ROUTES.register('GET object')
async def _get(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    await api.ensure_current_state()
    kind = objects.KIND_BY_PLURAL[parameters['kind']]
    stored = api.state.get(kind.number, parameters['name'])
    if stored is None:
        deleted = views.deleted_job_view(api, kind, parameters['name'])
        if deleted is not None:
            return json_reply(200, deleted)
        return problems.reply(
            404, f'there is no {kind.plural}/{parameters["name"]}'
        )
    return json_reply(
        200, views.object_view(api, stored), headers=_etag(stored.revision)
    )


@ROUTES.register('PUT object')
async def _put(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    kind = objects.KIND_BY_PLURAL[parameters['kind']]
    return await _put_body(api, request, kind, parameters['name'])


@ROUTES.register('PUT labels')
async def _put_labels(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    kind = objects.KIND_BY_PLURAL[
        f'{parameters["of"].removesuffix("s")}-labels'
    ]
    return await _put_body(api, request, kind, parameters['name'])


@ROUTES.register('GET labels')
async def _get_labels(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    kind = f'{parameters["of"].removesuffix("s")}-labels'
    return await _get(api, request, {'kind': kind, 'name': parameters['name']})


async def _put_body(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    kind: objects.Kind,
    name: str,
) -> cluster.OperatorReply:
    found = findings.Findings()
    reader = objects.DocumentReader(f'{kind.plural}/{name}', found)
    reader.check_name('path', name)
    body = reader.body(request.body.decode('utf-8', 'replace'), kind)
    found.raise_any('nothing was applied')
    change = intent.Change(
        object=objects.make(kind, name, body), if_match=_if_match(request)
    )
    known = api.state.get(kind.number, name) is not None
    result = await api.apply(request, [change])
    document = objects.to_document(change.object)
    return _result_reply(api, result, document, created=not known)


@ROUTES.register('DELETE object')
async def _delete(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    kind = objects.KIND_BY_PLURAL[parameters['kind']]
    name = parameters['name']
    known = api.state.get(kind.number, name)
    key = request.headers.get('idempotency-key', '')
    if known is None and not (key and api.state.key_record(key)):
        await api.ensure_current_state()
        if api.state.get(kind.number, name) is None:
            return problems.reply(404, f'there is no {kind.plural}/{name}')
    change = intent.Change(
        object=objects.tombstone(kind, name), if_match=_if_match(request)
    )
    result = await api.apply(request, [change])
    return _result_reply(api, result, {'deleted': f'{kind.plural}/{name}'})


@ROUTES.register('POST apply')
async def _apply(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    found = findings.Findings()
    source = request.headers.get('banyan-source', 'apply')
    reader = objects.DocumentReader(source, found)
    read = reader.objects(request.body.decode('utf-8', 'replace'))
    if not read and not found.found:
        found.add(source, 'got no objects; valid is at least one')
    found.raise_any('nothing was applied')
    changes = [intent.Change(object=stored, if_match=0) for stored in read]
    result = await api.apply(request, changes)
    applied = [
        f'{objects.kind_of(stored).plural}/{stored.name}' for stored in read
    ]
    return _result_reply(api, result, {'applied': applied})


@ROUTES.register('DELETE apply')
async def _delete_many(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    """Deletes several objects in one command."""
    try:
        listed = json.loads(request.body)
        pairs = [text.split('/', 1) for text in listed]
        changes = [
            intent.Change(
                object=objects.tombstone(objects.KIND_BY_PLURAL[kind], name),
                if_match=0,
            )
            for kind, name in pairs
        ]
    except (
        ValueError,
        KeyError,
        AttributeError,
        TypeError,
        RecursionError,
    ) as error:
        return problems.reply(
            422, f'got {error}; valid is a list of "kind/name"'
        )
    result = await api.apply(request, changes)
    return _result_reply(api, result, {'deleted': listed})


@ROUTES.register('GET status')
async def _status(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    await api.ensure_current_state()
    return json_reply(200, views.status_view(api))


@ROUTES.register('GET rollout')
async def _rollout(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    await api.ensure_current_state()
    return json_reply(200, views.rollout_view(api))


@ROUTES.register('GET watch')
async def _watch(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    """Answers with the changes after a revision; waits if there are none."""
    await api.ensure_current_state()
    text = _query_parameters(request.target).get(
        'from', str(api.state.revision)
    )
    revision = untrusted.parse_decimal(text)
    if revision is None:
        return problems.reply(422, 'from: valid is a revision')
    deadline_s = time.monotonic() + WATCH_WAIT_S
    try:
        changes = api.state.feed.after(revision)
        while not changes and time.monotonic() < deadline_s:
            await api.replica.wait_next_applied(deadline_s - time.monotonic())
            changes = api.state.feed.after(revision)
    except feed.CompactedError as error:
        return problems.reply(
            410, str(error), oldest_revision=error.oldest_revision
        )
    if not api.replica.ready:
        raise api.replica.not_leader_error()
    listed = [objects.to_document(stored) for stored in changes]
    newest = changes[-1].revision if changes else revision
    return json_reply(200, {'revision': newest, 'changes': listed})


@ROUTES.register('GET members')
async def _members(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    await api.ensure_current_state()
    return json_reply(200, views.members_view(api))


@ROUTES.register('POST members')
async def _change_members(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    try:
        wanted = json.loads(request.body)
        add = str(wanted.get('add', ''))
        remove = str(wanted.get('remove', ''))
    except (ValueError, AttributeError, RecursionError) as error:
        return problems.reply(422, f'not valid JSON: {error}')
    if not add and not remove:
        return problems.reply(
            422, 'got neither add nor remove; valid are ids of members'
        )
    learners = {m.member_id for m in api.replica.membership.learners}
    if remove in learners and not add:
        await api.replica.remove_learner(remove)
    else:
        await api.replica.change_voters(add=add, remove=remove)
    logs.event(_LOG, 'members_changed', added=add, removed=remove)
    return json_reply(200, views.members_view(api))


@ROUTES.register('POST explain')
async def _explain(
    api: OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    """Answers where a job would be placed now; changes nothing."""
    if api.dry_run is None:
        return problems.reply(404, 'the platform interface is not served')
    await api.ensure_current_state()
    return json_reply(200, api.dry_run(request.body))

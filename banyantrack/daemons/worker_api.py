"""Parses workers' reports and answers them with commands and a lease."""

from __future__ import annotations

import dataclasses
import json
import logging
import typing

from banyantrack.core import clock
from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.generated.intent import ttypes as intent
from banyantrack.placement import gangs
from banyantrack.replication import errors as replication_errors

if typing.TYPE_CHECKING:
    from banyantrack.daemons import leadership
    from banyantrack.replication import replica as replica_module

REPORT_LIMIT_BYTES = 256 * 1024
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """One report of a worker.

    Attributes:
        incarnation: Increases when the worker restarts.
        sequence: Increases with each report of an incarnation.
        worker: Description of the worker; its number is not set.
        tasks: Gang members that run or have just ended on the worker.
        wait_ms: Longest time that the answer may wait for a command.
    """

    incarnation: int
    sequence: int
    worker: intent.Worker
    tasks: tuple[gangs.TaskReport, ...]
    wait_ms: int


class _Fields:
    """Reads typed fields of a JSON object and collects findings.

    Args:
        raw: The parsed JSON value.
        place: Path of the value in the document, for findings.
        found: Receives a finding for each error.
    """

    def __init__(
        self, raw: object, place: str, found: findings.Findings
    ) -> None:
        self._place = place
        self._found = found
        if not isinstance(raw, dict):
            found.add(place, f'got {type(raw).__name__}; valid is an object')
            raw = {}
        self._raw = raw

    def get(
        self, name: str, kind: type, default: typing.Any = None
    ) -> typing.Any:
        """Returns a field; adds a finding and returns `kind()` if invalid."""
        value = self._raw.get(name, default)
        if type(value) is not kind or (kind is int and value < 0):
            self._found.add(
                f'{self._place}/{name}',
                f'got {value!r}; valid is {kind.__name__}',
            )
            return kind()
        return value

    def sub(self, name: str) -> _Fields:
        """Returns the fields of a nested object."""
        return _Fields(
            self._raw.get(name), f'{self._place}/{name}', self._found
        )


def parse_report(body: bytes) -> WorkerReport:
    """Parses the JSON body of a report.

    Raises:
        FindingsError: With all errors in the body.
    """
    found = findings.Findings()
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        found.add('report', f'not valid JSON: {error}')
        found.raise_any('report')
    fields = _Fields(raw, 'report', found)
    capacity = fields.sub('capacity')
    labels = fields.get('labels', dict, {})
    worker = intent.Worker(
        zone=fields.get('zone', str),
        rack=fields.get('rack', str),
        accelerators=capacity.get('accelerators', int),
        processors=capacity.get('processors', int),
        memory_mb=capacity.get('memory_mb', int),
        number=0,
        own_labels={str(k): str(v) for k, v in labels.items()},
    )
    tasks = tuple(
        _parse_task(raw_task, position, found)
        for position, raw_task in enumerate(fields.get('tasks', list, []))
    )
    report = WorkerReport(
        incarnation=fields.get('incarnation', int),
        sequence=fields.get('sequence', int),
        worker=worker,
        tasks=tasks,
        wait_ms=fields.get('wait_ms', int, 0),
    )
    found.raise_any('report')
    return report


def _parse_task(
    raw: object, position: int, found: findings.Findings
) -> gangs.TaskReport:
    fields = _Fields(raw, f'report/tasks/{position}', found)
    state = fields.get('state', str)
    try:
        state = gangs.TaskState(state)
    except ValueError:
        valid = ', '.join(s.value for s in gangs.TaskState)
        found.add(
            f'report/tasks/{position}/state',
            f'got {state!r}; valid are: {valid}',
        )
        state = gangs.TaskState.FAILED
    return gangs.TaskReport(
        job=fields.get('job', str),
        epoch=fields.get('epoch', int),
        state=state,
        progress_ms=fields.get('progress_ms', int, 0),
        saved_ms=fields.get('saved_ms', int, 0),
        memory_mb=fields.get('memory_mb', int, 0),
    )


class WorkerApi:
    """Answers reports while this member leads.

    Args:
        replica: The member.
        placement: Placement while this member leads.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        placement: leadership.PlacementLeadership,
    ) -> None:
        self._replica = replica
        self._placement = placement

    async def report(self, name: str, report: WorkerReport) -> bytes:
        """Records a report; waits for commands if there are none.

        Args:
            name: Name of the worker.
            report: Its report.

        Returns:
            The answer as JSON.

        Raises:
            ReplicationError: If this member cannot answer as the leader.
        """
        session = self._placement.session
        if session is None:
            raise self._replica.not_leader_error()
        number = await self._placement.register(name, report.worker)
        session.refresh()
        signal = self._placement.command_signal(number)
        newer = session.tracker.record_report(
            number, report.incarnation, report.sequence, report.tasks
        )
        if not newer:
            logs.event(
                _LOG,
                'old_report',
                worker=name,
                incarnation=report.incarnation,
                sequence=report.sequence,
            )
            return self._make_answer(session, number, [])
        if session.tracker.events_due(number):
            await self._placement.request_round()
        commands = await self._commands(session, number, report, signal)
        return self._make_answer(session, number, commands)

    async def _commands(
        self,
        session: leadership.PlacementSession,
        number: int,
        report: WorkerReport,
        signal: typing.Any,
    ) -> list[gangs.TaskCommand]:
        """Returns commands, waiting for the first one."""
        wait_ms = min(report.wait_ms, self._placement.options.report_wait_ms)
        deadline_s = clock.steady_s() + wait_ms / 1000
        while True:
            if self._placement.session is not session:
                raise self._replica.not_leader_error()
            commands = session.tracker.commands(number, report.tasks)
            left_s = deadline_s - clock.steady_s()
            if commands or left_s <= 0:
                return commands
            await signal.wait_for(left_s)

    def _make_answer(
        self,
        session: leadership.PlacementSession,
        number: int,
        commands: list[gangs.TaskCommand],
    ) -> bytes:
        lease_s = self._placement.options.lease_ms / 1000
        # Another leader may have been elected since a quorum last answered,
        # so the lease starts at that time.
        lease_end_s = self._replica.quorum_contact_at + lease_s
        lease_end_s = min(lease_end_s, clock.steady_s() + lease_s)
        left_s = lease_end_s - clock.steady_s()
        if left_s <= 0 or self._placement.session is not session:
            raise replication_errors.NotLeaderError('', '')
        session.tracker.extend_lease(number, lease_end_s)
        return json.dumps(
            {
                'lease_ms': int(left_s * 1000),
                'commands': [_command_json(c) for c in commands],
            }
        ).encode()


def _command_json(command: gangs.TaskCommand) -> dict[str, object]:
    return {
        'action': command.action.value,
        'job': command.job,
        'epoch': command.epoch,
        'members': command.members,
        'accelerators': command.accelerators,
        'progress_ms': command.progress_ms,
        'parameters': command.parameters or {},
    }

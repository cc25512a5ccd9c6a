"""A short pause of the leader while an executor has left a start unanswered.

Each try hands in a job whose first start gets no answer and is carried out
late. The leader stands still meanwhile, for less than half a second. Another
job takes the room that becomes free.
"""

from __future__ import annotations

import json
import pathlib
import signal
import sys

import curio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from banyantrack.transport import http_server  # noqa: E402
from common import harness  # noqa: E402

# Length of the pause in each try. The pause has to end the leader's lease but
# not its leadership; the tries allow for machines of different speed.
PAUSES_S = (0.44, 0.43, 0.45, 0.42, 0.46)
# Time from the start order until the pause, shorter than a planning round.
BEFORE_PAUSE_S = 0.03
TASK_MS = 4000
# An order without an answer is carried out after this time.
LATE_S = 2.5


class Executor(harness.Executor):
    """An executor that can leave starts unanswered and run them late.

    Attributes:
        unanswered: Set by a start that is left unanswered; None if all are
            answered.
    """

    unanswered: curio.Event | None = None

    async def _serve(self, request: http_server.Request) -> None:
        event = type(self).unanswered
        if event is None or request.target != '/v1/run-start':
            await super()._serve(request)
            return
        body = json.loads(await request.read_body(65536))
        self.record.note(
            f'{self.name}: {body["task"]} run {body["runId"]}'
            f' token {body["fencingToken"]}: not answered'
        )
        await curio.spawn(self._run_late, body, daemon=True)
        await event.set()
        # The answer never comes.
        await curio.sleep(60)

    async def _run_late(self, body: dict) -> None:
        await curio.sleep(LATE_S)
        status, values = await self._carry_out('/v1/run-start', body)
        self.record.note(
            f'{self.name}: {body["task"]} run {body["runId"]}'
            f' carried out late: {status} {values}'
        )


async def scenario(folder: pathlib.Path, record: harness.Record) -> list[str]:
    """Runs the case; returns what broke the rule."""
    deployment = harness.Deployment(
        folder, record, executors=[{}, {}, {}], executor_type=Executor
    )
    observer = deployment.observer
    async with deployment.running():
        for number, pause_s in enumerate(PAUSES_S):
            body = harness.job(
                {'count': 1, 'gpu': 8, 'memMb': 100, 'estimatedMs': TASK_MS},
                ms=TASK_MS,
                need={'gpu': 8},
            )
            leader = deployment.leader()
            if harness.TROUBLE:
                Executor.unanswered = curio.Event()
            await deployment.call(
                'POST', f'/usual/5c0e7a21d94b36{number:02x}', body
            )
            if harness.TROUBLE:
                await Executor.unanswered.wait()
                await curio.sleep(BEFORE_PAUSE_S)
                record.note(f'{leader.name}: SIGSTOP')
                leader.send(signal.SIGSTOP)
                await curio.sleep(pause_s)
                Executor.unanswered = None
                leader.send(signal.SIGCONT)
                record.note(f'{leader.name}: SIGCONT')
            await deployment.call(
                'POST', f'/urgent/77aa7a21d94b36{number:02x}', body
            )
            await curio.sleep(LATE_S + TASK_MS / 1000 + 1)
            if observer.twice:
                break
        deployment.note_events('leader_elected', 'work_started', 'work_ended')
    return observer.twice


harness.main(pathlib.Path(__file__).resolve().parent, scenario)

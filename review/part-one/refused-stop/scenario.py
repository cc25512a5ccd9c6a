"""An executor refuses part of its orders while jobs on it are cancelled."""

from __future__ import annotations

import random
import time

import curio
import harness

JOBS = 8
# Of 8 executors, one fails a part of its orders, for a while.
EXECUTORS = 8
GREY_SHARE = 0.4
GREY_S = 5.0
TASK_MS = 90_000


async def scenario(deployment: harness.Deployment) -> str:
    """Returns what broke the rule; empty if it held."""
    record = deployment.record
    observer = deployment.observer
    await deployment.start_all()
    paths = [f'/usual/{number:016x}' for number in range(1, JOBS + 1)]
    for path in paths:
        status = await deployment.submit(
            path, harness.make_step(estimatedMs=TASK_MS), spec={'ms': TASK_MS}
        )
        if status != 200:
            raise harness.NotRunError(f'{path}: {status}')

    async def all_run() -> bool:
        return len(observer.runs) >= JOBS

    await harness.wait_for(all_run, 10, 'all tasks run')
    await curio.sleep(harness.BOUNDS['contactMs'] / 1000)
    grey = max(deployment.executors, key=lambda e: len(e.running))
    record.add(f'{grey.name} runs {len(grey.running)} tasks')
    rng = random.Random(43)
    grey_until_s = 0.0

    async def refuse(target: str, body: dict) -> int | None:
        if time.monotonic() >= grey_until_s or rng.random() >= GREY_SHARE:
            return None
        record.add(f'{grey.name}: 503 to {target} {body.get("task", "")}')
        return 503

    if harness.TROUBLE:
        grey_until_s = time.monotonic() + GREY_S
        grey.on_order = refuse
        record.add(f'{grey.name} fails {GREY_SHARE:.0%} of its orders')
        await curio.sleep(GREY_S / 2)
    for path in paths:
        status, _ = await deployment.client('DELETE', path)
        if status not in (200, 410):
            raise harness.NotRunError(f'DELETE {path}: {status}')
    cancelled_s = time.monotonic()
    bounds = harness.BOUNDS
    # No disruption for `contactMs`, and then a calm stretch of `cancel_ms` and
    # `stopTimeoutMs`; a second more for the clocks of this script.
    due_s = (
        max(cancelled_s, grey_until_s + bounds['contactMs'] / 1000)
        + (bounds['cancel_ms'] + bounds['stopTimeoutMs']) / 1000
        + 1.0
    )
    await curio.sleep(due_s - time.monotonic())
    alive = sorted(
        f'{task} on {executor}'
        for (task, _, executor), (_, end_s) in observer.runs.items()
        if end_s is None
    )
    since_s = time.monotonic() - cancelled_s
    record.add(f'{len(alive)} tasks run {since_s:.1f} s after the cancels')
    if not alive:
        return ''
    return f'{since_s:.1f} s after their cancelling run on: {alive}'


harness.main(scenario, entries=1, executors=EXECUTORS)

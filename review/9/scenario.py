"""An executor refuses orders for a while; a stop that it refuses is lost.

First with a start that is carried out late, then with jobs that are cancelled.
"""

from __future__ import annotations

import random
import time

import curio
import harness

# Of 8 executors, one at a time fails orders.
EXECUTORS = 8
TASK_MS = 90_000
# Orders without an answer are carried out 2 to 12 s later.
LATE_S = 5.0
# The executor with the late start refuses all orders for a while, from so
# long after the start reached it.
REFUSES_AFTER_S = 0.5
REFUSES_S = 1.0
# Later, one refuses a part of its orders.
GREY_SHARE = 0.4
GREY_S = 5.0
JOBS = 8


async def start_late(deployment: harness.Deployment) -> str:
    """Returns what broke TWICE; empty if it held."""
    record = deployment.record
    late: list[harness.Executor] = []

    def watch(executor: harness.Executor) -> None:
        async def carry_out(target: str, body: dict) -> None:
            await curio.sleep(LATE_S)
            record.add(f'{executor.name}: the late start is carried out')
            await executor.carry_out(target, body)

        refuses_from_s = float('inf')

        async def on_order(target: str, body: dict) -> int | None:
            nonlocal refuses_from_s
            now_s = time.monotonic()
            if refuses_from_s <= now_s < refuses_from_s + REFUSES_S:
                record.add(f'{executor.name}: 503 to {target}')
                return 503
            if target != '/v1/run-start' or late:
                return None
            late.append(executor)
            refuses_from_s = now_s + REFUSES_AFTER_S
            record.add(f'{executor.name}: no answer to {target} {body}')
            await curio.spawn(carry_out, target, body, daemon=True)
            await curio.sleep(LATE_S)
            return 0

        executor.on_order = on_order

    if harness.TROUBLE:
        for executor in deployment.executors:
            watch(executor)
    path = f'/usual/{0xA:016x}'
    status = await deployment.submit(
        path, harness.make_step(estimatedMs=TASK_MS), spec={'ms': TASK_MS}
    )
    if status != 200:
        raise harness.NotRunError(f'{path}: {status}')
    await curio.sleep(LATE_S + 2.0)
    for executor in deployment.executors:
        executor.on_order = None
    broken = harness.find_overlap(deployment.observer)
    await deployment.client('DELETE', path)
    await curio.sleep(harness.BOUNDS['contactMs'] / 1000)
    return broken


async def cancel(deployment: harness.Deployment) -> str:
    """Returns what broke UNASKED; empty if it held."""
    record = deployment.record
    observer = deployment.observer
    paths = [f'/usual/{number:016x}' for number in range(1, JOBS + 1)]
    for path in paths:
        status = await deployment.submit(
            path, harness.make_step(estimatedMs=TASK_MS), spec={'ms': TASK_MS}
        )
        if status != 200:
            raise harness.NotRunError(f'{path}: {status}')
    tasks = {f'{number:016x}.0.0.0' for number in range(1, JOBS + 1)}

    async def all_run() -> bool:
        return tasks <= {task for task, _, _ in observer.runs}

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
        if end_s is None and task in tasks
    )
    since_s = time.monotonic() - cancelled_s
    record.add(f'{len(alive)} tasks run {since_s:.1f} s after the cancels')
    if not alive:
        return ''
    return f'UNASKED: {since_s:.1f} s after their cancelling run on {alive}'


async def scenario(deployment: harness.Deployment) -> str:
    """Returns what broke the rules; empty if they held."""
    await deployment.start_all()
    twice = await start_late(deployment)
    if twice:
        deployment.record.add(f'TWICE: {twice}')
    unasked = await cancel(deployment)
    return '; '.join(filter(None, (twice and f'TWICE: {twice}', unasked)))


harness.main(scenario, entries=1, executors=EXECUTORS)

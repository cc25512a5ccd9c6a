"""An executor crashes when an order reaches it and is back at once."""

from __future__ import annotations

import curio
import harness

TASK_MS = 4_000
# Time from the crash until the executor listens again, and from then until
# its first heartbeat, which come about every `heartbeatMs` (1,500).
DOWN_S = 0.2
FIRST_BEAT_S = 0.5


async def scenario(deployment: harness.Deployment) -> str:
    """Returns what broke the rule; empty if it held."""
    record = deployment.record
    observer = deployment.observer
    await deployment.start_all()
    crashed: list[str] = []

    async def crash_once(executor: harness.Executor) -> None:
        await executor.crash()
        record.add(f'{executor.name} has crashed')
        await curio.sleep(DOWN_S)
        executor.first_beat_s = FIRST_BEAT_S
        executor.reset()
        await executor.open()
        record.add(f'{executor.name} is back under its id')

    def watch(executor: harness.Executor) -> None:
        async def on_order(target: str, body: dict) -> int | None:
            if target != '/v1/run-start' or crashed:
                return None
            crashed.append(executor.name)
            await curio.spawn(crash_once, executor, daemon=True)
            # The process ends before it has carried out the order.
            await curio.sleep(10)
            return 0

        executor.on_order = on_order

    if harness.TROUBLE:
        for executor in deployment.executors:
            watch(executor)
    paths = [f'/usual/{number:016x}' for number in range(1, 4)]
    for path in paths:
        status = await deployment.submit(
            path, harness.make_step(), spec={'ms': TASK_MS}
        )
        if status != 200:
            raise harness.NotRunError(f'{path}: {status}')
        await curio.sleep(0.5)

    async def all_done() -> bool:
        states = [
            (await deployment.client('GET', path, quiet=True))[1].get('state')
            for path in paths
        ]
        return all(state == 'completed' for state in states)

    await harness.wait_for(all_done, 60, 'all jobs are completed')
    await curio.sleep(1.0)
    return harness.find_overlap(observer)


harness.main(scenario, entries=1, executors=8)

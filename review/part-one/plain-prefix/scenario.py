"""A change of the configuration adds a route whose prefix ends in no slash."""

from __future__ import annotations

import curio
import harness

TASK_MS = 30_000
JOB = '00c0ffee00c0ffee'


async def scenario(deployment: harness.Deployment) -> str:
    """Returns what broke the rule; empty if it held."""
    observer = deployment.observer
    await deployment.start_all()
    prefix = '/night-' if harness.TROUBLE else '/night/'
    routes = harness.make_config(2)['routes']
    routes.append(harness.make_route('night', prefix, 1))
    await deployment.put_config(harness.make_config(2, routes=routes))
    await curio.sleep(harness.BOUNDS['configApplyMs'] / 1000)
    path = f'{prefix}{JOB}'
    status = await deployment.submit(
        path, harness.make_step(), spec={'ms': TASK_MS}
    )
    if status != 200:
        raise harness.NotRunError(f'{path}: {status}')
    await curio.sleep(harness.BOUNDS['visible_ms'] / 1000 + 0.5)
    status, values = await deployment.client('GET', path)
    broken = []
    if status == 410:
        broken.append(f'GET {path} of an accepted job is answered 410')
    for task, _, executor in observer.runs:
        if not task.startswith(f'{JOB}.'):
            broken.append(f'{executor} was told to start {task!r}')
    status, _ = await deployment.client('DELETE', path)
    if status in (200, 410):
        await curio.sleep(
            (harness.BOUNDS['cancel_ms'] + harness.BOUNDS['stopTimeoutMs'])
            / 1000
            + 1.0
        )
        for (task, _, executor), (_, end_s) in observer.runs.items():
            if end_s is None:
                broken.append(f'{task} runs on {executor} after its cancel')
    return '; '.join(broken)


harness.main(scenario, entries=1, executors=2)

"""Renders documents of the HTTP API as tables."""

from __future__ import annotations

import datetime
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    Document = dict[str, typing.Any]

COLUMN_GAP = '  '


def render(
    header: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> str:
    """Returns a table with aligned columns."""
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def age(since_ms: int) -> str:
    """Returns the age of a time in one unit, such as `3m`.

    Args:
        since_ms: The time, in milliseconds since the Unix epoch.
    """
    now = datetime.datetime.now(datetime.timezone.utc).timestamp()
    return duration(max(now - since_ms / 1000, 0))


def duration(seconds: float) -> str:
    """Returns a duration in one unit, such as `90s` or `3m`."""
    for size, unit in ((86400, 'd'), (3600, 'h'), (60, 'm')):
        if seconds >= 2 * size:
            return f'{int(seconds // size)}{unit}'
    return f'{seconds:.0f}s'


def _customers(items: list[Document]) -> str:
    return render(
        ('NAME', 'WEIGHT', 'QUOTA', 'REVISION'),
        [
            (
                item['name'],
                item['weight'],
                item['quota_accelerators'] or '-',
                item['revision'],
            )
            for item in items
        ],
    )


def _guarantees(items: list[Document]) -> str:
    rows = []
    for item in items:
        status = item.get('status', {})
        missing = status.get('infeasible_shapes', 0)
        rows.append(
            (
                item['name'],
                item['customer'],
                f'{item["count"]}x{item["accelerators"]}',
                item['adjacency'],
                item['selector'] or '-',
                status.get('used_accelerators', '?'),
                status.get('reclaimable_shapes', '?'),
                f'{missing} WITHOUT WORKERS' if missing else 'ok',
            )
        )
    return render(
        (
            'NAME',
            'CUSTOMER',
            'SHAPES',
            'WITHIN',
            'SELECTOR',
            'USED',
            'RECLAIMABLE',
            'STATE',
        ),
        rows,
    )


def _jobs(items: list[Document]) -> str:
    rows = []
    for item in items:
        status = item.get('status', {})
        rows.append(
            (
                item['name'],
                item.get('customer', '-'),
                f'{item.get("members", "?")}x{item.get("accelerators", "?")}',
                status.get('state', status.get('phase', '?')),
                age(status.get('submitted_ms', 0)),
                'urgent' if item.get('urgent') else '-',
                status.get('why') or status.get('reason') or '-',
            )
        )
    return render(
        ('NAME', 'CUSTOMER', 'GANG', 'STATE', 'AGE', 'CLASS', 'WHY'), rows
    )


def _routes(items: list[Document]) -> str:
    return render(
        ('NAME', 'PREFIX', 'CLASS', 'DEADLINE', 'SELECTOR', 'CUSTOMER'),
        [
            (
                item['name'],
                item['prefix'],
                item['service_class'],
                f'{item["deadline_ms"]}ms',
                item['selector'] or '-',
                item['customer'] or '-',
            )
            for item in items
        ],
    )


def _labels(items: list[Document]) -> str:
    return render(
        ('NAME', 'LABELS'),
        [(item['name'], label_text(item['labels'])) for item in items],
    )


def _workers(items: list[Document]) -> str:
    rows = []
    for item in items:
        status = item.get('status', {})
        state = 'silent' if status.get('silent') else 'reporting'
        if status.get('avoided'):
            state += ',avoided'
        rows.append(
            (
                item['name'],
                item['zone'],
                item['rack'],
                f'{status.get("free_accelerators", "?")}'
                f'/{item["accelerators"]}',
                state,
                label_text(status.get('labels', {})),
            )
        )
    return render(('NAME', 'ZONE', 'RACK', 'FREE', 'STATE', 'LABELS'), rows)


def _evacuations(items: list[Document]) -> str:
    return render(
        ('ZONE', 'AGE', 'REQUESTER', 'RUNS'),
        [
            (
                item['zone'],
                age(item['accepted_ms']),
                item['requester'],
                item['runs'],
            )
            for item in items
        ],
    )


def affected_customers(document: Document) -> list[str]:
    """Returns a line for each customer that evacuations affect.

    Args:
        document: Document with the member `affected_customers`.
    """
    return [
        f'GUARANTEES of {customer}: cannot be kept without evacuated zones'
        for customer in document['affected_customers']
    ]


def label_text(labels: dict[str, str]) -> str:
    """Returns labels as key=value pairs, or `-` if there are none."""
    pairs = [f'{key}={value}' for key, value in sorted(labels.items())]
    return ','.join(pairs) or '-'


KIND_TABLES: dict[str, typing.Callable[[list[Document]], str]] = {
    'customers': _customers,
    'guarantees': _guarantees,
    'jobs': _jobs,
    'routes': _routes,
    'worker-labels': _labels,
    'backend-labels': _labels,
    'workers': _workers,
    'evacuations': _evacuations,
}


def members(document: Document) -> str:
    """Returns a table of the members of the control group."""
    rows = [
        (
            member['name'],
            member['id'],
            member['address'],
            member['role'],
            'yes' if member['reachable'] else 'NO',
            member['synced'],
        )
        for member in document['members']
    ]
    table = render(
        ('NAME', 'ID', 'ADDRESS', 'ROLE', 'REACHABLE', 'SYNCED'), rows
    )
    losses = document['survivable_losses']
    return f'{table}\nfurther losses survivable now: {losses}'


def rollout(document: Document) -> str:
    """Returns a table of the revision in force at each entry."""
    rows = [
        (
            entry['name'],
            entry['address'],
            entry['revision'],
            'SILENT' if entry['silent'] else 'ok',
        )
        for entry in document['entries']
    ]
    table = render(('ENTRY', 'ADDRESS', 'IN FORCE', 'STATE'), rows)
    return f'revision accepted: {document["revision"]}\n{table}'


def status(document: Document) -> str:
    """Returns a summary of the whole system."""
    jobs = ', '.join(
        f'{count} {phase}' for phase, count in document['jobs'].items()
    )
    workers = document.get('workers', {})
    accelerators = document.get('accelerators', {})
    lines = [
        f'leader        {document["leader"]}, term {document["term"]}',
        f'revision      {document["revision"]}',
        f'jobs          {jobs or "none"}',
        f'workers       {workers.get("known", "?")} known,'
        f' {len(workers.get("silent", []))} silent,'
        f' {len(workers.get("avoided", []))} avoided',
        f'accelerators  {accelerators.get("free", "?")} free of'
        f' {accelerators.get("total", "?")},'
        f' {accelerators.get("borrowed", "?")} borrowed',
    ]
    for label in ('silent', 'avoided'):
        names = workers.get(label, [])
        if names:
            lines.append(f'  {label}: {", ".join(names[:10])}')
    infeasible = document.get('infeasible_guarantees') or {}
    for name, count in infeasible.items():
        lines.append(
            f'GUARANTEE {name}: {count} shapes have no workers to reclaim'
        )
    # Servers of release 0.1 do not list evacuations.
    evacuated = document.get('evacuations')
    if evacuated and evacuated['items']:
        zones = ', '.join(
            f'{item["zone"]} ({item["runs"]} runs)'
            for item in evacuated['items']
        )
        lines.append(f'EVACUATED     {zones}')
        lines += affected_customers(evacuated)
    lines += ['', members(document['control'])]
    lines += ['', rollout(document['rollout'])]
    return '\n'.join(lines)


def dry_run(document: Document) -> str:
    """Returns where a job would be placed, as text."""
    lines = [
        f'{document["job"]} in {document["queue"]} of {document["customer"]},'
        f' {document["queued_units"]} units queued (view of'
        f' {document["member"]}, {document["view_age_ms"]} ms old)'
    ]
    for step in document['steps']:
        lines += _dry_run_step(step)
    return '\n'.join(lines)


def _dry_run_step(step: Document) -> list[str]:
    run_time = f'{step["expected_ms"]} ms'
    if 'p90_ms' in step:
        run_time += (
            f' ({step["p10_ms"]} to {step["p90_ms"]} ms, based on'
            f' {step["based_on_runs"]} runs)'
        )
    lines = [f'step {step["step"]}: run time {run_time}']
    if not step['ready']:
        after = ', '.join(map(str, step['depends_on']))
        return [*lines, f'  waits for steps {after}' if after else '  waits']
    start_ms = step['start_ms']
    expected = start_ms['expected']
    start = 'never on these workers' if expected is None else f'{expected} ms'
    if None not in start_ms.values():
        start += f' ({start_ms["low"]} to {start_ms["high"]} ms)'
    lines.append(
        f'  {step["tasks"]} tasks, position {step["position"]}, start in'
        f' {start}, latest useful start in {step["latest_start_ms"]} ms'
    )
    if step['waits_for']:
        lines.append(f'  waits for {step["waits_for"]}')
    lines += [f'  {count} on {name}' for name, count in step['starts'].items()]
    lines += [
        f'  stops {stop["task"]}/{stop["run"]} on {stop["worker"]}'
        for stop in step['stops']
    ]
    lines += [
        f'  {found["workers"]} workers: {reason} ({", ".join(found["named"])})'
        for reason, found in step['rejected'].items()
    ]
    return lines

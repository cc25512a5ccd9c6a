"""JSON views of objects, members and entries for operators."""

from __future__ import annotations

import collections
import typing

from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import objects
from banyantrack.replication import quorum
from banyantrack.workload import guarantees

if typing.TYPE_CHECKING:
    from banyantrack.daemons import operator_api

Kind = intent.ObjectKind
Phase = intent.JobPhase
Allotment = intent.AllotmentState


def _enum_name(enumeration: type, value: int) -> str:
    return enumeration._VALUES_TO_NAMES[value].lower().replace('_', '-')


def object_view(
    api: operator_api.OperatorApi, stored: intent.StoredObject
) -> dict[str, object]:
    """Returns an object with its current status."""
    view = objects.to_document(stored)
    if stored.kind == Kind.JOB:
        status = api.state.jobs.get(stored.name)
        if status is not None:
            view['status'] = job_status(api, status)
    elif stored.kind == Kind.GUARANTEE:
        view['status'] = _guarantee_status(api, stored.name)
    elif stored.kind == Kind.WORKER:
        view['status'] = _worker_status(api, stored)
    return view


def deleted_job_view(
    api: operator_api.OperatorApi, kind: objects.Kind, name: str
) -> dict[str, object] | None:
    """Returns a deleted job's last status, or None if there is none."""
    if kind.number != Kind.JOB:
        return None
    status = api.state.jobs.get(name)
    if status is None:
        return None
    return {
        'kind': 'job',
        'name': name,
        'deleted': True,
        'status': job_status(api, status),
    }


def job_status(
    api: operator_api.OperatorApi, status: intent.JobStatus
) -> dict[str, object]:
    """Returns the state of a job; for a waiting one, the reason."""
    view: dict[str, object] = {
        'phase': _enum_name(Phase, status.phase),
        'submitted_ms': status.submitted_ms,
        'attempts': status.attempts,
        'reclaims': status.reclaims,
    }
    session = api.placement.session
    if status.phase == Phase.PLACED:
        names = collections.Counter(api.state.worker_names(status))
        view |= {
            'state': _enum_name(Allotment, status.allotment),
            'epoch': status.epoch,
            'workers': dict(sorted(names.items())),
            'guarantee': status.guarantee or None,
            'started_ms': status.started_ms,
        }
        if session is not None:
            view['progress_ms'] = session.progress_ms(status.job)
    elif status.phase == Phase.WAITING and session is not None:
        view['why'] = session.scheduler.reason(status.job)
    else:
        view['finished_ms'] = status.finished_ms
        view['started_ms'] = status.started_ms
    if status.reason:
        view['reason'] = _enum_name(intent.StopReason, status.reason)
    return view


def _guarantee_status(
    api: operator_api.OperatorApi, name: str
) -> dict[str, object]:
    session = api.placement.session
    if session is None:
        return {}
    ledger = session.scheduler.ledger
    shapes = ledger.witness.shapes(name)
    missing = session.scheduler.infeasible_shapes().get(name, 0)
    return {
        'used_accelerators': ledger.used_by_guarantee[name],
        'reclaimable_shapes': len(shapes) - missing,
        'infeasible_shapes': missing,
    }


def _worker_status(
    api: operator_api.OperatorApi, stored: intent.StoredObject
) -> dict[str, object]:
    session = api.placement.session
    if session is None:
        return {}
    fleet = session.scheduler.ledger.fleet
    number = fleet.number(stored.name)
    if number is None:
        return {}
    return {
        'free_accelerators': fleet.free_accelerators[number],
        'labels': fleet.labels(number),
        'silent': number in fleet.silent,
        'avoided': fleet.is_avoided(number),
    }


def members_view(api: operator_api.OperatorApi) -> dict[str, object]:
    """Returns the members of the control group."""
    status = api.replica.status()
    roles = {}
    membership = status.membership
    for member in membership.learners:
        roles[member.member_id] = 'learner'
    for voters in quorum.voter_sets(membership):
        for member in voters:
            roles[member.member_id] = 'voter'
    roles[status.member_id] = 'leader'
    return {
        'members': [
            {
                'id': member.member_id,
                'name': member.name,
                'address': member.address,
                'role': roles[member.member_id],
                'reachable': member.member_id in status.reachable,
                'synced': _synced(api, member.member_id),
            }
            for member in quorum.all_members(membership)
        ],
        'changing': bool(membership.outgoing),
        'survivable_losses': status.survivable_losses,
    }


def _synced(api: operator_api.OperatorApi, member_id: str) -> int:
    peer = api.replica.peer(member_id)
    return peer.match_index if peer else api.replica.commit_index


def rollout_view(api: operator_api.OperatorApi) -> dict[str, object]:
    """Returns which entry has which revision in force."""
    return {
        'revision': api.state.revision,
        'entries': [
            {
                'name': entry.name,
                'address': entry.http_address,
                'revision': entry.revision,
                'silent': entry.silent,
            }
            for entry in api.rollout.entries
        ],
    }


def status_view(api: operator_api.OperatorApi) -> dict[str, object]:
    """Returns a summary of the state of the whole system."""
    phases: dict[str, int] = collections.Counter(
        _enum_name(Phase, status.phase) for status in api.state.jobs
    )
    status = api.replica.status()
    view: dict[str, object] = {
        'revision': api.state.revision,
        'term': status.term,
        'leader': api.replica.member.name,
        'commit_index': status.commit_index,
        'control': members_view(api),
        'rollout': rollout_view(api),
        'jobs': dict(phases),
        'claims': len(api.state.claims),
        'evacuations': evacuations_view(api),
    }
    session = api.placement.session
    if session is not None:
        view |= _fleet_view(session)
    return view


def evacuations_view(
    api: operator_api.OperatorApi,
) -> dict[str, typing.Any]:
    """Returns the evacuations in force and the customers they affect."""
    in_force = api.state.work.evacuations.in_force
    runs = _runs_by_zone(api) if in_force else {}
    return {
        'items': [
            {
                'zone': evacuation.zone,
                'accepted_ms': evacuation.accepted_ms,
                'requester': evacuation.requester,
                'runs': runs.get(evacuation.zone, 0),
            }
            for evacuation in in_force.values()
        ],
        'affected_customers': _affected_customers(api) if in_force else [],
    }


def _runs_by_zone(api: operator_api.OperatorApi) -> dict[str, int]:
    """Returns the runs of tasks and the members of gangs in each zone."""
    runs: collections.Counter[str] = collections.Counter()
    workers = api.state.work.workers
    for _, _, task in api.state.work.all_live_runs():
        worker = workers.get(task.worker_id)
        if worker is not None:
            runs[worker.zone] += 1
    zones = {
        stored.name: stored.worker.zone
        for stored in api.state.of_kind(Kind.WORKER)
    }
    for status in api.state.jobs:
        if status.phase == Phase.PLACED:
            for name in api.state.worker_names(status):
                runs[zones.get(name, '')] += 1
    return runs


def _affected_customers(api: operator_api.OperatorApi) -> list[str]:
    """Returns customers with guarantees that need an evacuated zone."""
    customers = set(guarantees.unproven_customers(api.state.work))
    session = api.placement.session
    if session is not None:
        session.refresh()
        for name in session.scheduler.infeasible_shapes():
            stored = api.state.get(Kind.GUARANTEE, name)
            if stored is not None:
                customers.add(stored.guarantee.customer)
    return sorted(customers)


def _fleet_view(session: typing.Any) -> dict[str, object]:
    ledger = session.scheduler.ledger
    fleet = ledger.fleet
    return {
        'workers': {
            'known': sum(1 for w in range(len(fleet)) if fleet.name(w)),
            'silent': sorted(fleet.name(w) for w in fleet.silent),
            'avoided': [
                fleet.name(w) for w in session.scheduler.attribution.avoided()
            ],
        },
        'accelerators': {
            'total': fleet.total_accelerators,
            'free': fleet.total_free,
            'borrowed': sum(fleet.borrowed),
        },
        'infeasible_guarantees': session.scheduler.infeasible_shapes(),
    }

"""Parses and validates the announcements that backends send over HTTP."""

from __future__ import annotations

import json

from banyantrack.core import documents
from banyantrack.core import findings
from banyantrack.core import untrusted
from banyantrack.generated.cluster import ttypes as cluster

MAX_SLOTS = 4096
_STATES = {
    'serving': cluster.BackendState.SERVING,
    'leaving': cluster.BackendState.LEAVING,
}


def parse(body: bytes) -> cluster.Announcement:
    """Parses an announcement.

    Args:
        body: JSON object with `id`, `incarnation`, `address`, `zone`,
            `labels`, `slots` and `state`.

    Raises:
        FindingsError: If a field is invalid; lists every finding.
    """
    found = findings.Findings()
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        found.add('announcement', f'not valid JSON: {error}')
        raw = {}
    if not isinstance(raw, dict):
        found.add('announcement', 'valid is an object')
        raw = {}
    found.raise_any('announcement')
    _check_text(raw, 'id', 'name', found)
    _check_text(raw, 'zone', 'name', found)
    _check_text(raw, 'address', 'address', found)
    _check_number(raw, 'incarnation', 0, 1 << 62, found)
    _check_number(raw, 'slots', 1, MAX_SLOTS, found)
    state = raw.get('state', 'serving')
    if not isinstance(state, str) or state not in _STATES:
        found.add('state', f'got {state!r}; valid are: {", ".join(_STATES)}')
    labels = raw.get('labels')
    if labels is None:
        labels = {}
    if not isinstance(labels, dict) or not all(
        isinstance(value, str)
        and untrusted.is_encodable(name)
        and untrusted.is_encodable(value)
        for name, value in labels.items()
    ):
        found.add('labels', 'valid is an object with string values')
    found.raise_any('announcement')
    return cluster.Announcement(
        backend_id=raw['id'],
        incarnation=raw['incarnation'],
        address=raw['address'],
        zone=raw['zone'],
        labels=labels,
        slots=raw['slots'],
        state=_STATES[state],
    )


def _check_text(
    raw: dict, name: str, form: str, found: findings.Findings
) -> None:
    value = raw.get(name)
    if not isinstance(value, str) or not value:
        found.add(name, f'got {value!r}; valid is text')
        return
    problem = documents.FORMS.get(form)(value)
    if problem:
        found.add(name, f'got {value!r}; {problem}')


def _check_number(
    raw: dict, name: str, low: int, high: int, found: findings.Findings
) -> None:
    value = raw.get(name)
    if type(value) is not int or not low <= value <= high:
        found.add(name, f'got {value!r}; valid are {low} to {high}')

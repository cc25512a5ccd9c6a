"""Checks whether changed guarantees are feasible beside the existing ones."""

from __future__ import annotations

import typing

from banyantrack.core import findings
from banyantrack.core import states
from banyantrack.placement import witness as witness_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.intent import ttypes as intent
    from banyantrack.placement import allotments


def check_guarantees(
    ledger: allotments.Ledger,
    changed: collections.abc.Iterable[intent.StoredObject],
) -> list[findings.Finding]:
    """Returns a finding for each changed guarantee that has no witness.

    Each guarantee is checked beside the current ones, not beside the others
    of the same change.

    Args:
        ledger: Allotments and the capacity that they use.
        changed: Objects of a change that is not applied yet.
    """
    ledger.sync()
    found = []
    for stored in changed:
        if stored.guarantee is None or stored.deleted:
            continue
        entitlement = _entitlement(ledger, stored)
        change = witness_module.Change({}, entitlement)
        if not ledger.witness.allows(change):
            found.append(_finding(ledger, stored, entitlement))
    return found


def _entitlement(
    ledger: allotments.Ledger, stored: intent.StoredObject
) -> witness_module.Entitlement:
    guarantee = stored.guarantee
    requested = guarantee.count * guarantee.accelerators
    used = ledger.used_by_guarantee[stored.name]
    return witness_module.Entitlement(
        guarantee=stored.name,
        shape=guarantee.accelerators,
        remaining=max(requested - used, 0),
        adjacency=states.Adjacency(guarantee.adjacency),
        selector=guarantee.selector or '',
    )


def _finding(
    ledger: allotments.Ledger,
    stored: intent.StoredObject,
    entitlement: witness_module.Entitlement,
) -> findings.Finding:
    guarantee = stored.guarantee
    eligible = ledger.fleet.eligible(entitlement.selector)
    capacity = sum(
        count
        for worker, count in enumerate(ledger.fleet.accelerators)
        if eligible[worker]
    )
    return findings.Finding(
        f'guarantees/{stored.name}',
        f'got {guarantee.count} shapes of {guarantee.accelerators}'
        f' accelerators on one {guarantee.adjacency}; its selector matches'
        f' {sum(eligible)} workers with {capacity} accelerators, and no'
        ' assignment among them covers the shapes of all guarantees',
    )

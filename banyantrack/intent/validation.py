"""Validation of changed objects against all other objects."""

from __future__ import annotations

import typing

from banyantrack.core import findings
from banyantrack.core import registry
from banyantrack.core import selectors
from banyantrack.generated.intent import ttypes
from banyantrack.intent import objects

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.intent import table

    Check = collections.abc.Callable[
        [str, 'ObjectOverlay', ttypes.StoredObject, findings.Findings], None
    ]

Kind = ttypes.ObjectKind
CHECKS: registry.Registry[Check] = registry.Registry('check')


class ObjectOverlay:
    """The objects as they will be after changes are applied.

    Args:
        current: The objects before the changes.
        changes: The changed objects; a deleted one hides the current one.
    """

    def __init__(
        self,
        current: table.ObjectTable,
        changes: collections.abc.Iterable[ttypes.StoredObject],
    ) -> None:
        self._current = current
        self._changed = {
            (stored.kind, stored.name): stored for stored in changes
        }

    def get(self, kind: int, name: str) -> ttypes.StoredObject | None:
        """Returns an object, or None."""
        key = (kind, name)
        found = self._changed.get(key) or self._current.get(*key)
        return None if found is None or found.deleted else found

    def of_kind(
        self, kind: int
    ) -> collections.abc.Iterator[ttypes.StoredObject]:
        """Yields all objects of a kind."""
        for stored in self._current.of_kind(kind):
            if (kind, stored.name) not in self._changed:
                yield stored
        for key, stored in self._changed.items():
            if key[0] == kind and not stored.deleted:
                yield stored


def check_changes(
    view: ObjectOverlay,
    changes: collections.abc.Sequence[ttypes.StoredObject],
    found: findings.Findings,
) -> None:
    """Checks all changed objects.

    Args:
        view: The objects after the changes.
        changes: The changed objects.
        found: Receives the findings.
    """
    for stored in changes:
        kind = objects.kind_of(stored)
        place = f'{kind.plural}/{stored.name}'
        name = f'delete {kind.plural}' if stored.deleted else kind.plural
        if name in set(CHECKS):
            CHECKS.get(name)(place, view, stored, found)


def _check_selector(place: str, text: str, found: findings.Findings) -> None:
    try:
        selectors.parse(text or '')
    except selectors.SelectorError as error:
        found.add(f'{place}/selector', str(error))


def _find_customer(
    place: str, name: str, view: ObjectOverlay, found: findings.Findings
) -> ttypes.Customer | None:
    stored = view.get(Kind.CUSTOMER, name)
    if stored is None:
        valid = sorted(s.name for s in view.of_kind(Kind.CUSTOMER))
        found.add(
            f'{place}/customer',
            f'got unknown customer {name!r};'
            f' valid are: {", ".join(valid) or "none yet"}',
        )
        return None
    return stored.customer


def guaranteed_accelerators(view: ObjectOverlay, customer: str) -> int:
    """Returns the number of accelerators in a customer's guarantees."""
    return sum(
        stored.guarantee.count * stored.guarantee.accelerators
        for stored in view.of_kind(Kind.GUARANTEE)
        if stored.guarantee.customer == customer
    )


def _check_quota(
    place: str,
    view: ObjectOverlay,
    name: str,
    customer: ttypes.Customer,
    found: findings.Findings,
) -> None:
    quota = customer.quota_accelerators
    guaranteed = guaranteed_accelerators(view, name)
    if quota and guaranteed > quota:
        found.add(
            place,
            f'got guarantees of {guaranteed} accelerators for customer'
            f' {name!r}; valid are up to its quota of {quota}',
        )


@CHECKS.register('customers')
def _validate_customer(
    place: str,
    view: ObjectOverlay,
    stored: ttypes.StoredObject,
    found: findings.Findings,
) -> None:
    _check_quota(
        f'{place}/quota_accelerators',
        view,
        stored.name,
        stored.customer,
        found,
    )


@CHECKS.register('delete customers')
def _validate_customer_deletion(
    place: str,
    view: ObjectOverlay,
    stored: ttypes.StoredObject,
    found: findings.Findings,
) -> None:
    for kind in (Kind.GUARANTEE, Kind.JOB):
        dependents = [
            other.name
            for other in view.of_kind(kind)
            if objects.body_of(other).customer == stored.name
        ]
        if dependents:
            plural = objects.KIND_BY_NUMBER[kind].plural
            found.add(
                place,
                f'{len(dependents)} {plural} belong to this customer, such as'
                f' {dependents[0]!r};'
                ' valid is to delete them first',
            )


@CHECKS.register('guarantees')
def _validate_guarantee(
    place: str,
    view: ObjectOverlay,
    stored: ttypes.StoredObject,
    found: findings.Findings,
) -> None:
    guarantee = stored.guarantee
    _check_selector(place, guarantee.selector, found)
    customer = _find_customer(place, guarantee.customer, view, found)
    if customer is not None:
        _check_quota(place, view, guarantee.customer, customer, found)


@CHECKS.register('jobs')
def _validate_job(
    place: str,
    view: ObjectOverlay,
    stored: ttypes.StoredObject,
    found: findings.Findings,
) -> None:
    job = stored.job
    _check_selector(place, job.selector, found)
    customer = _find_customer(place, job.customer, view, found)
    if customer is None or not customer.quota_accelerators:
        return
    requested = job.members * job.accelerators
    if requested > customer.quota_accelerators:
        found.add(
            f'{place}/members',
            f'got a gang of {requested} accelerators; valid are up to the'
            f' quota of {customer.quota_accelerators} of customer'
            f' {job.customer!r}',
        )


@CHECKS.register('routes')
def _validate_route(
    place: str,
    view: ObjectOverlay,
    stored: ttypes.StoredObject,
    found: findings.Findings,
) -> None:
    route = stored.route
    _check_selector(place, route.selector, found)
    if route.customer:
        _find_customer(place, route.customer, view, found)
    for other in view.of_kind(Kind.ROUTE):
        if other.name != stored.name and other.route.prefix == route.prefix:
            found.add(
                f'{place}/prefix',
                f'got {route.prefix!r}, which route {other.name!r} uses',
            )

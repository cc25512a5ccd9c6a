"""Evacuations of availability zones: the replicated orders and their rules.

Design load: 64 zones at most, orders a few times a day, and a lookup for each
worker in each planning round and for each start that is sent (250 per
second), so a lookup takes constant time.
"""

from __future__ import annotations

import enum
import types
import typing

from banyantrack.core import documents
from banyantrack.generated.workload import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import findings

# Most zones that are evacuated at once, and most ended evacuations that are
# kept.
EVACUATIONS_LIMIT = 64


class Verdict(enum.Enum):
    """Outcome of an order."""

    DONE = 'done'
    # As many zones as possible are evacuated already.
    FULL = 'full'


class EvacuationTable:
    """Evacuations in force, and the latest that have ended.

    Both orders are idempotent: only the first of several counts.
    """

    def __init__(self) -> None:
        self._in_force: dict[str, ttypes.Evacuation] = {}
        # By zone, in the order of their ends.
        self._ended: dict[str, ttypes.Evacuation] = {}

    @property
    def in_force(self) -> collections.abc.Mapping[str, ttypes.Evacuation]:
        """Evacuations in force, by zone."""
        return types.MappingProxyType(self._in_force)

    @property
    def ended(self) -> collections.abc.Mapping[str, ttypes.Evacuation]:
        """The latest evacuations that have ended, by zone."""
        return types.MappingProxyType(self._ended)

    def apply(self, order: ttypes.EvacuationCommand, now_ms: int) -> Verdict:
        """Applies an order.

        Args:
            order: The order.
            now_ms: Time that was replicated with it, in milliseconds since
                1970.
        """
        if order.end:
            evacuation = self._in_force.pop(order.zone, None)
            if evacuation is not None:
                evacuation.ended_ms = now_ms
                self._add_ended(evacuation)
            return Verdict.DONE
        if order.zone in self._in_force:
            return Verdict.DONE
        if len(self._in_force) >= EVACUATIONS_LIMIT:
            return Verdict.FULL
        self._ended.pop(order.zone, None)
        self._in_force[order.zone] = ttypes.Evacuation(
            zone=order.zone, accepted_ms=now_ms, requester=order.requester
        )
        return Verdict.DONE

    def snapshot(self) -> list[ttypes.Evacuation]:
        """Returns all evacuations for a snapshot."""
        return [*self._in_force.values(), *self._ended.values()]

    def restore(self, evacuations: list[ttypes.Evacuation]) -> None:
        """Replaces all evacuations with those of a snapshot."""
        self._in_force = {}
        self._ended = {}
        for evacuation in evacuations:
            if evacuation.ended_ms is None:
                self._in_force[evacuation.zone] = evacuation
            else:
                self._add_ended(evacuation)

    def _add_ended(self, evacuation: ttypes.Evacuation) -> None:
        self._ended[evacuation.zone] = evacuation
        if len(self._ended) > EVACUATIONS_LIMIT:
            del self._ended[next(iter(self._ended))]


def check_zone(
    zone: str,
    configured: collections.abc.Collection[str],
    known: collections.abc.Container[str],
    found: findings.Findings,
) -> None:
    """Adds a finding unless a zone can be evacuated.

    Args:
        zone: Name of the zone.
        configured: The setting `zones`; empty if any zone is valid.
        known: Zones of workers, and those that are evacuated already.
        found: Receives the finding.
    """
    if zone in known:
        return
    if not configured:
        check_name(zone, found)
    elif zone not in configured:
        found.add(
            'zone',
            f'got {zone[:260]!r}, which is neither configured nor the zone of'
            f' a worker; configured are: {", ".join(configured)}',
        )


def check_name(zone: str, found: findings.Findings) -> None:
    """Adds a finding unless a text is the name of a zone."""
    problem = documents.FORMS.get('zone')(zone)
    if problem:
        found.add('zone', f'got {zone[:260]!r}; {problem}')

"""Quorums of a membership, also of a joint one.

A joint membership has `outgoing` voters; both sets need a majority.
"""

from __future__ import annotations

import collections.abc
import typing

from banyantrack.generated.replication import ttypes

Number = typing.TypeVar('Number', int, float)


def empty_membership() -> ttypes.Membership:
    """Returns a membership without members."""
    return ttypes.Membership(voters=[], outgoing=[], learners=[])


def voter_sets(membership: ttypes.Membership) -> list[list[ttypes.Member]]:
    """Returns the sets of voters, each of which needs a majority."""
    sets = [membership.voters]
    if membership.outgoing:
        sets.append(membership.outgoing)
    return sets


def all_members(membership: ttypes.Membership) -> list[ttypes.Member]:
    """Returns each member once, voters first."""
    by_id: dict[str, ttypes.Member] = {}
    for member in (
        *membership.voters,
        *membership.outgoing,
        *membership.learners,
    ):
        by_id.setdefault(member.member_id, member)
    return list(by_id.values())


def voter_ids(membership: ttypes.Membership) -> set[str]:
    """Returns the ids of all voters, outgoing ones included."""
    return {
        member.member_id
        for voters in voter_sets(membership)
        for member in voters
    }


def quorum_value(
    membership: ttypes.Membership,
    values: collections.abc.Mapping[str, Number],
    default: Number,
) -> Number:
    """Returns the largest value that a quorum has reached or exceeded.

    Args:
        membership: The voters.
        values: Values of members by id.
        default: Value of members without one.
    """
    result: Number | None = None
    for voters in voter_sets(membership):
        if not voters:
            return default
        ordered = sorted(
            (values.get(member.member_id, default) for member in voters),
            reverse=True,
        )
        value = ordered[len(voters) // 2]
        result = value if result is None else min(result, value)
    return default if result is None else result


def has_quorum(
    membership: ttypes.Membership, member_ids: collections.abc.Container[str]
) -> bool:
    """Whether a set of members contains a quorum."""
    return all(
        sum(member.member_id in member_ids for member in voters) * 2
        > len(voters)
        for voters in voter_sets(membership)
    ) and bool(membership.voters)


def survivable_losses(
    membership: ttypes.Membership, reachable: set[str]
) -> int:
    """Returns how many more voters may fail without losing the quorum.

    Args:
        membership: The voters.
        reachable: Ids of the members that can be reached now.

    Returns:
        The count; negative if there is no quorum now.
    """
    return min(
        sum(member.member_id in reachable for member in voters)
        - (len(voters) // 2 + 1)
        for voters in voter_sets(membership)
    )

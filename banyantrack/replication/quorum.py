"""Who must agree, also while the set of voters changes."""

from __future__ import annotations

import collections.abc
import typing

from banyantrack.generated.replication import ttypes

Number = typing.TypeVar('Number', int, float)


def empty_membership() -> ttypes.Membership:
    """Returns a membership of nobody."""
    return ttypes.Membership(voters=[], outgoing=[], learners=[])


def voter_sets(membership: ttypes.Membership) -> list[list[ttypes.Member]]:
    """Returns the sets of which each needs a majority of its own."""
    sets = [membership.voters]
    if membership.outgoing:
        sets.append(membership.outgoing)
    return sets


def all_members(membership: ttypes.Membership) -> list[ttypes.Member]:
    """Returns all members once, voters first."""
    found: dict[str, ttypes.Member] = {}
    for member in (
        *membership.voters,
        *membership.outgoing,
        *membership.learners,
    ):
        found.setdefault(member.member_id, member)
    return list(found.values())


def voter_ids(membership: ttypes.Membership) -> set[str]:
    """Returns the ids of all who vote."""
    return {
        member.member_id
        for voters in voter_sets(membership)
        for member in voters
    }


def agreed(
    membership: ttypes.Membership,
    values: collections.abc.Mapping[str, Number],
    missing: Number,
) -> Number:
    """Returns the largest value that a quorum has reached.

    Args:
        membership: The voters.
        values: Value of each member by id.
        missing: Value of members without one.
    """
    lowest: Number | None = None
    for voters in voter_sets(membership):
        if not voters:
            return missing
        reached = sorted(
            (values.get(member.member_id, missing) for member in voters),
            reverse=True,
        )
        value = reached[len(voters) // 2]
        lowest = value if lowest is None else min(lowest, value)
    return missing if lowest is None else lowest


def has_quorum(
    membership: ttypes.Membership, member_ids: collections.abc.Container[str]
) -> bool:
    """Whether some members are a quorum."""
    return all(
        sum(member.member_id in member_ids for member in voters) * 2
        > len(voters)
        for voters in voter_sets(membership)
    ) and bool(membership.voters)


def survivable_losses(
    membership: ttypes.Membership, reachable: set[str]
) -> int:
    """Returns how many more members may be lost without losing quorum.

    Args:
        membership: The voters.
        reachable: Ids of the members that answer now.

    Returns:
        The count; -1 if there is no quorum now.
    """
    return min(
        sum(member.member_id in reachable for member in voters)
        - (len(voters) // 2 + 1)
        for voters in voter_sets(membership)
    )

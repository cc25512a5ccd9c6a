"""Finds the queue of a call and checks the caller's key."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.generated.workload import ttypes

if typing.TYPE_CHECKING:
    Verdict = ttypes.JobVerdict


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """A call whose queue and customer are known.

    Attributes:
        queue: The queue.
        customer: The customer; empty on a queue that is open to all.
        rest: What follows the prefix of the queue in the path.
    """

    queue: ttypes.Queue
    customer: str
    rest: str


class Router:
    """Looks up queues and keys of one configuration.

    Args:
        config: The configuration in force.
    """

    def __init__(self, config: ttypes.WorkConfig) -> None:
        self._by_host: dict[str, list[ttypes.Queue]] = {}
        for queue in config.queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self._customers = {
            key: account.name
            for account in config.accounts
            for key in account.keys
        }

    def route(self, host: str, path: str, key: str) -> Routed | int:
        """Returns where a call goes, or the verdict that refuses it.

        Args:
            host: Host that the caller named.
            path: Path of the call.
            key: The customer's key; empty if there is none.
        """
        queue = self._find(host, path)
        if queue is None:
            return ttypes.JobVerdict.NO_QUEUE
        customer = self._customers.get(key, '')
        if not customer and not queue.open_to_all:
            return ttypes.JobVerdict.BAD_KEY
        return Routed(queue, customer, path[len(queue.prefix) :])

    def _find(self, host: str, path: str) -> ttypes.Queue | None:
        name = host.partition(':')[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

"""Routes calls to queues and authenticates callers by their key."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.generated.workload import ttypes

if typing.TYPE_CHECKING:
    Verdict = ttypes.JobVerdict


@dataclasses.dataclass(frozen=True, slots=True)
class Routed:
    """The queue and the customer of a call.

    Attributes:
        queue: The queue.
        customer: The customer; empty for a caller without a valid key, which
            only queues that are open to all accept.
        rest: Path after the prefix of the queue.
    """

    queue: ttypes.Queue
    customer: str
    rest: str


class Router:
    """Routes calls by the queues and keys of one configuration.

    Args:
        config: The configuration.
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
        """Returns the queue and customer of a call, or a refusal.

        Args:
            host: Host in the request, with or without a port.
            path: Path of the request.
            key: API key of the customer; empty if there is none.

        Returns:
            The route, or the `JobVerdict` that refuses the call.
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

"""Capacity and labels of all workers, as arrays indexed by worker number.

With thousands of workers and tens of thousands of tasks, an object for each
would be too large and slow. Every attribute is an array, racks and zones are
numbered, and the matches of a selector are cached as a byte for each worker.
"""

from __future__ import annotations

import array
import dataclasses
import typing

from banyantrack.core import errors
from banyantrack.core import selectors

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.intent import ttypes

NO_RACK = -1
# Stands for any number of members, where a member needs no resources.
UNLIMITED_MEMBERS = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Resources that one member of a gang needs.

    Attributes:
        accelerators: Number of accelerators.
        processors: Number of processors.
        memory_mb: Memory in MB.
    """

    accelerators: int
    processors: int
    memory_mb: int


def count_members(
    need: Need, accelerators: int, processors: int, memory_mb: int
) -> int:
    """Returns how many members fit into the given resources."""
    fit = UNLIMITED_MEMBERS
    if need.accelerators:
        fit = accelerators // need.accelerators
    if need.processors:
        fit = min(fit, processors // need.processors)
    if need.memory_mb:
        fit = min(fit, memory_mb // need.memory_mb)
    return max(fit, 0)


class Fleet:
    """Capacity, use and labels of all workers.

    Args:
        default_selector: Label selector that a worker has to match besides
            the selector of a gang.
    """

    def __init__(self, default_selector: str = '') -> None:
        self._default_selector = selectors.parse(default_selector)
        self._names: list[str] = []
        self._numbers: dict[str, int] = {}
        self._labels: list[dict[str, str]] = []
        self._rack_of = array.array('i')
        self._zone_of_rack: list[int] = []
        self._rack_numbers: dict[tuple[str, str], int] = {}
        self._zone_numbers: dict[str, int] = {}
        self._closed_zones: frozenset[str] = frozenset()
        self._closed_zone_numbers: set[int] = set()
        self._rack_workers: list[list[int]] = []
        self._accelerators = array.array('i')
        self._free_accelerators = array.array('i')
        self._free_processors = array.array('i')
        self._free_memory = array.array('q')
        self._processors = array.array('i')
        self._memory = array.array('q')
        # Accelerators used by work that can be reclaimed.
        self._borrowed = array.array('i')
        self._eligible: dict[str, bytearray] = {}
        self._avoided = bytearray()
        self._silent: set[int] = set()
        self._label_generation = 0
        self._generation = 0
        self._total_free = 0

    def __len__(self) -> int:
        return len(self._names)

    @property
    def generation(self) -> int:
        """Increases whenever capacity, use or labels change."""
        return self._generation

    @property
    def label_generation(self) -> int:
        """Increases whenever labels change."""
        return self._label_generation

    @property
    def silent(self) -> set[int]:
        """Workers with a lapsed lease; no work starts until they report."""
        return self._silent

    @silent.setter
    def silent(self, workers: set[int]) -> None:
        if workers != self._silent:
            self._silent = workers
            self._generation += 1

    @property
    def racks(self) -> collections.abc.Sequence[list[int]]:
        """Worker numbers of each rack."""
        return self._rack_workers

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all workers."""
        return sum(self._accelerators)

    @property
    def total_free(self) -> int:
        """Free accelerators of all workers."""
        return self._total_free

    @property
    def free_accelerators(self) -> array.array:
        """Free accelerators of each worker."""
        return self._free_accelerators

    @property
    def free_processors(self) -> array.array:
        """Free processors of each worker."""
        return self._free_processors

    @property
    def free_memory(self) -> array.array:
        """Free memory of each worker, in MB."""
        return self._free_memory

    @property
    def accelerators(self) -> array.array:
        """Accelerators of each worker."""
        return self._accelerators

    @property
    def borrowed(self) -> array.array:
        """Accelerators of each worker that borrowed work uses."""
        return self._borrowed

    def name(self, worker: int) -> str:
        """Returns the name of a worker, or '' if it was removed."""
        return self._names[worker]

    def number(self, name: str) -> int | None:
        """Returns the number of a worker, or None."""
        return self._numbers.get(name)

    def rack_of(self, worker: int) -> int:
        """Returns the rack of a worker."""
        return self._rack_of[worker]

    def zone_of_rack(self, rack: int) -> int:
        """Returns the zone of a rack."""
        return self._zone_of_rack[rack]

    def labels(self, worker: int) -> dict[str, str]:
        """Returns the labels of a worker."""
        return self._labels[worker]

    def put(
        self,
        number: int,
        name: str,
        worker: ttypes.Worker,
        labels: dict[str, str],
    ) -> None:
        """Adds a worker or changes its capacity, location and labels.

        Args:
            number: Number of the worker in the replicated state.
            name: Name of the worker.
            worker: Capacity, zone and rack of the worker.
            labels: Labels of the worker.
        """
        while len(self._names) <= number:
            self._append_empty()
        self._generation += 1
        previous_name = self._names[number]
        if previous_name and previous_name != name:
            self._numbers.pop(previous_name, None)
        self._names[number] = name
        self._numbers[name] = number
        self._set_rack(number, worker.zone, worker.rack)
        used = self._accelerators[number] - self._free_accelerators[number]
        self._accelerators[number] = worker.accelerators
        self._total_free -= self._free_accelerators[number]
        self._free_accelerators[number] = worker.accelerators - used
        self._total_free += self._free_accelerators[number]
        self._free_processors[number] += (
            worker.processors - self._processors[number]
        )
        self._processors[number] = worker.processors
        self._free_memory[number] += worker.memory_mb - self._memory[number]
        self._memory[number] = worker.memory_mb
        self.set_labels(number, labels)

    def remove(self, number: int) -> None:
        """Removes a worker.

        Raises:
            InvariantError: If work uses accelerators of the worker.
        """
        errors.check_invariant(
            self._free_accelerators[number] == self._accelerators[number],
            'worker %s removed with work on it',
            self._names[number],
        )
        self._generation += 1
        self._numbers.pop(self._names[number], None)
        rack = self._rack_of[number]
        if rack != NO_RACK:
            self._rack_workers[rack].remove(number)
        self._rack_of[number] = NO_RACK
        self._names[number] = ''
        self._labels[number] = {}
        self._total_free -= self._free_accelerators[number]
        for values in (
            self._accelerators,
            self._free_accelerators,
            self._free_processors,
            self._free_memory,
            self._processors,
            self._memory,
        ):
            values[number] = 0
        for eligible in self._eligible.values():
            eligible[number] = 0

    def set_labels(self, number: int, labels: dict[str, str]) -> None:
        """Changes the labels of a worker."""
        self._generation += 1
        self._label_generation += 1
        self._labels[number] = labels
        for text, eligible in self._eligible.items():
            eligible[number] = self._matches(text, number)

    def eligible(self, selector: str) -> bytearray:
        """Returns for each worker whether it matches a selector.

        Args:
            selector: Selector to match besides the default one.
        """
        found = self._eligible.get(selector)
        if found is None:
            found = bytearray(
                self._matches(selector, number)
                for number in range(len(self._names))
            )
            self._eligible[selector] = found
        return found

    def set_closed_zones(self, zones: frozenset[str]) -> bool:
        """Sets the zones whose workers get no new work.

        Their workers match no selector.

        Args:
            zones: Names of the zones.

        Returns:
            Whether other zones are closed now.
        """
        if zones == self._closed_zones:
            return False
        self._closed_zones = zones
        self._closed_zone_numbers = {
            number
            for name, number in self._zone_numbers.items()
            if name in zones
        }
        self._generation += 1
        self._label_generation += 1
        for text, eligible in self._eligible.items():
            for worker in range(len(eligible)):
                eligible[worker] = self._matches(text, worker)
        return True

    def matches_labels(self, selector: str, number: int) -> bool:
        """Whether a worker matches a selector, also in a closed zone.

        Args:
            selector: Selector to match besides the default one.
            number: The worker.
        """
        if self._rack_of[number] == NO_RACK:
            return False
        labels = self._labels[number]
        return self._default_selector.matches(labels) and selectors.parse(
            selector
        ).matches(labels)

    def set_avoided(self, number: int, avoided: bool) -> None:
        """Sets whether a worker is used last for new work."""
        if self._avoided[number] != avoided:
            self._avoided[number] = avoided
            self._generation += 1

    def is_avoided(self, number: int) -> bool:
        """Whether a worker is used last for new work."""
        return bool(self._avoided[number])

    def allocate(
        self,
        workers: collections.abc.Iterable[int],
        need: Need,
        *,
        borrowed: bool,
    ) -> None:
        """Allocates the resources of a gang; doesn't check that they are free.

        Args:
            workers: Worker number of each member.
            need: Resources of each member.
            borrowed: Whether the work can be reclaimed.
        """
        self._adjust_free(workers, need, 1, borrowed)

    def deallocate(
        self,
        workers: collections.abc.Iterable[int],
        need: Need,
        *,
        borrowed: bool,
    ) -> None:
        """Frees resources that `allocate` has allocated."""
        self._adjust_free(workers, need, -1, borrowed)

    def free_resources(self, worker: int) -> tuple[int, int, int]:
        """Returns free accelerators, processors and memory in MB."""
        return (
            self._free_accelerators[worker],
            self._free_processors[worker],
            self._free_memory[worker],
        )

    def members_that_fit(self, worker: int, need: Need) -> int:
        """Returns how many members fit into the free part of a worker."""
        return count_members(
            need,
            self._free_accelerators[worker],
            self._free_processors[worker],
            self._free_memory[worker],
        )

    def members_when_empty(self, worker: int, need: Need) -> int:
        """Returns how many members fit on an empty worker."""
        return count_members(
            need,
            self._accelerators[worker],
            self._processors[worker],
            self._memory[worker],
        )

    def _adjust_free(
        self,
        workers: collections.abc.Iterable[int],
        need: Need,
        sign: int,
        borrowed: bool,
    ) -> None:
        accelerators = sign * need.accelerators
        processors = sign * need.processors
        memory_mb = sign * need.memory_mb
        self._generation += 1
        for worker in workers:
            self._free_accelerators[worker] -= accelerators
            self._free_processors[worker] -= processors
            self._free_memory[worker] -= memory_mb
            self._total_free -= accelerators
            if borrowed:
                self._borrowed[worker] += accelerators

    def _matches(self, text: str, number: int) -> bool:
        rack = self._rack_of[number]
        return (
            rack != NO_RACK
            and self._zone_of_rack[rack] not in self._closed_zone_numbers
            and self.matches_labels(text, number)
        )

    def _append_empty(self) -> None:
        self._names.append('')
        self._labels.append({})
        self._rack_of.append(NO_RACK)
        for values in (
            self._accelerators,
            self._free_accelerators,
            self._free_processors,
            self._free_memory,
            self._borrowed,
            self._processors,
            self._memory,
        ):
            values.append(0)
        self._avoided.append(0)
        for eligible in self._eligible.values():
            eligible.append(0)

    def _set_rack(self, number: int, zone: str, rack: str) -> None:
        key = (zone, rack)
        target = self._rack_numbers.get(key)
        if target is None:
            target = self._rack_numbers[key] = len(self._rack_workers)
            self._rack_workers.append([])
            zone_number = self._zone_numbers.setdefault(
                zone, len(self._zone_numbers)
            )
            self._zone_of_rack.append(zone_number)
            if zone in self._closed_zones:
                self._closed_zone_numbers.add(zone_number)
        current = self._rack_of[number]
        if current == target:
            return
        if current != NO_RACK:
            self._rack_workers[current].remove(number)
        self._rack_of[number] = target
        self._rack_workers[target].append(number)

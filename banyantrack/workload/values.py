"""What a job is worth to its customer, by when it would end.

The users weigh their kinds of job by priority: an urgent check is worth
more than a large match, and that more than a review. A job is worth a fixed
part and one that grows with its work. Late answers are worth a part, and
those later than three times the objective nothing.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

# Worth in time and late, by priority of the queue; from the users' sheets.
IN_TIME = {0: 4.0, 1: 3.0, 2: 1.0}
LATE = {0: 0.8, 1: 1.2, 2: 0.4}
LOWEST = 2
FIXED_PART = 0.3
# A job counts at most this many times the usual one of its queue.
MOST = 4.0
LATE_FACTOR = 3
# Weight of the newest job in the usual work of a queue.
WEIGHT = 0.1
# Worth of a processor-second of work that is thrown away.
LOSS_PER_PROCESSOR_S = 0.0014
# Kept so that jobs that are worth nothing any more still have an order.
LEAST = 0.01


class Values:
    """Worth of jobs, with the usual work of each queue."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}
        self._seen: dict[str, float] = {}

    def size(self, record: ttypes.JobRecord, work: float) -> float:
        """Returns a job's work over the usual one of its queue.

        Args:
            record: The job.
            work: Accelerator-milliseconds of the whole job.
        """
        queue = record.queue.name
        usual = self._usual.setdefault(queue, max(work, 1.0))
        if record.job.job_id not in self._seen:
            self._seen[record.job.job_id] = work
            usual += WEIGHT * (work - usual)
            self._usual[queue] = usual
        return work / max(usual, 1.0)

    def worth(
        self,
        record: ttypes.JobRecord,
        work: float,
        *,
        ends_ms: float,
        due_ms: float,
        objective_ms: float,
    ) -> float:
        """Returns what a job is worth if it ends at a time.

        Args:
            record: The job.
            work: Accelerator-milliseconds of the whole job.
            ends_ms: When it would end.
            due_ms: When it could begin.
            objective_ms: Its objective.
        """
        priority = min(record.queue.priority, LOWEST)
        took_ms = ends_ms - due_ms
        if took_ms <= objective_ms:
            base = IN_TIME[priority]
        elif took_ms <= LATE_FACTOR * objective_ms:
            base = LATE[priority]
        else:
            base = LEAST
        size = FIXED_PART + (1 - FIXED_PART) * self.size(record, work)
        return base * min(size, MOST)

"""Value of a job to its customer, by the time at which it ends.

The value depends on the priority of the queue: users value an urgent check
more than a large match, and that more than a review. It is the sum of a fixed
part and a part that grows with the work of the job. A late job has a fraction
of the value, and one later than three times the objective almost none.

Values have no unit; they are only compared with each other.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

# Value of a job of typical size that ends within and after its objective, by
# priority of the queue, as stated by the users.
VALUE_IN_TIME = {0: 4.0, 1: 3.0, 2: 1.0}
VALUE_LATE = {0: 0.8, 1: 1.2, 2: 0.4}
LOWEST_PRIORITY = 2
# Share of the value of a typical job that does not depend on its work.
FIXED_SHARE = 0.3
# Upper limit of the factor by which the size of a job multiplies its value.
MAX_SIZE_FACTOR = 4.0
# A job later than this many times its objective has expired.
LATE_FACTOR = 3
# Weight of the newest job in the moving average of a queue's work.
SMOOTHING_WEIGHT = 0.1
# Value of a processor-second of lost work.
LOSS_PER_PROCESSOR_S = 0.0014
# Value of an expired job of typical size; above 0 so that the values of
# expired jobs still order them.
VALUE_EXPIRED = 0.01


class JobValues:
    """Values of jobs, relative to the typical work of their queues."""

    def __init__(self) -> None:
        self._typical_work: dict[str, float] = {}
        self._counted: dict[str, float] = {}

    def relative_size(self, record: ttypes.JobRecord, work: float) -> float:
        """Returns the work of a job over the typical work in its queue.

        The first call for a job updates the typical work.

        Args:
            record: The record of the job.
            work: Expected work of the whole job, in accelerator-milliseconds.
        """
        queue = record.queue.name
        typical = self._typical_work.setdefault(queue, max(work, 1.0))
        if record.job.job_id not in self._counted:
            self._counted[record.job.job_id] = work
            typical += SMOOTHING_WEIGHT * (work - typical)
            self._typical_work[queue] = typical
        return work / max(typical, 1.0)

    def job_value(
        self,
        record: ttypes.JobRecord,
        work: float,
        *,
        ends_ms: float,
        release_ms: float,
        objective_ms: float,
    ) -> float:
        """Returns the value of a job that ends at a given time.

        Args:
            record: The record of the job.
            work: Expected work of the whole job, in accelerator-milliseconds.
            ends_ms: Time of the end, in milliseconds since 1970.
            release_ms: Time from which the job may start, in milliseconds
                since 1970.
            objective_ms: Objective for the time from release to end, in
                milliseconds.
        """
        priority = min(record.queue.priority, LOWEST_PRIORITY)
        took_ms = ends_ms - release_ms
        if took_ms <= objective_ms:
            base = VALUE_IN_TIME[priority]
        elif took_ms <= LATE_FACTOR * objective_ms:
            base = VALUE_LATE[priority]
        else:
            base = VALUE_EXPIRED
        size_factor = FIXED_SHARE + (1 - FIXED_SHARE) * self.relative_size(
            record, work
        )
        return base * min(size_factor, MAX_SIZE_FACTOR)

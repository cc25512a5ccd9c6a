"""Checks of the rules, from what executors and the platform see."""

from __future__ import annotations

import asyncio
import time

import harness

# Interval at which it is noted which tasks are at work.
SAMPLE_S = 0.01


def group(task):
    """Returns the step of a task: its name without the index."""
    return task.rpartition('.')[0]


class Availability:
    """AVAIL, for one step with `mayMiss`.

    A task is away if it is not at work and either the last end of it came
    from a stop or an upkeep, or it has not been at work for `noticeMs`. Tasks
    that were never at work do not count as away.

    Args:
        system: The system.
        step: Name of the step, ID.K.STEP.
        count: Number of its tasks.
        may_miss: Its `mayMiss`.
    """

    def __init__(self, system, step, count, may_miss):
        self._system = system
        self._tasks = [f'{step}.{index}' for index in range(count)]
        self._may_miss = may_miss
        self._last_at_work = {}
        self._ended_by_order = set()
        self._ordered = {}
        system.observers.append(self)
        self._sampler = asyncio.create_task(self._sample())

    def at_work(self, task):
        """Whether a task is at work now."""
        found = self._system.find_run(task)
        return found is not None and found[1].percent == 100

    @property
    def all_at_work(self):
        return all(map(self.at_work, self._tasks))

    async def _sample(self):
        while True:
            now = time.monotonic()
            for task in self._tasks:
                if self.at_work(task):
                    self._last_at_work[task] = now
                    self._ended_by_order.discard(task)
            await asyncio.sleep(SAMPLE_S)

    def _away(self, task):
        now = time.monotonic()
        if self.at_work(task) or task not in self._last_at_work:
            return ''
        if task in self._ended_by_order:
            return 'ended by an order'
        silent_ms = (now - self._last_at_work[task]) * 1000
        if silent_ms >= harness.NOTICE_MS:
            return f'not at work for {silent_ms:.0f} ms'
        return ''

    def stop_ordered(self, executor, run):
        if run.task in self._tasks and run.percent == 100:
            self._ordered[run.task, run.number] = 'stop'

    def upkeep_began(self, executor, wave):
        for run in executor.runs.values():
            if run.task in self._tasks and run.percent == 100:
                self._ordered[run.task, run.number] = 'upkeep'

    def ended(self, executor, run, how):
        order = self._ordered.pop((run.task, run.number), None)
        if order is None or how not in ('stopped', 'crashed'):
            return
        others = {
            task: away
            for task in self._tasks
            if task != run.task and (away := self._away(task))
        }
        self._ended_by_order.add(run.task)
        if len(others) >= self._may_miss:
            self._system.break_rule(
                f'AVAIL: {order} ended {run.task} at work on'
                f' {executor.name}, while away: {others}; mayMiss is'
                f' {self._may_miss}'
            )


class Waves:
    """LIMIT, for the waves of the platform's machines service.

    Args:
        system: The system.
        maximum: Most machines of the wave that may be down for their upkeep.
    """

    def __init__(self, system, maximum):
        self._system = system
        self._maximum = maximum
        system.observers.append(self)

    def upkeep_began(self, executor, wave):
        down = self._system.machines.down
        if len(down) >= self._maximum:
            self._system.break_rule(
                f'LIMIT: the upkeep of {executor.machine} begins in wave'
                f' {wave} while down for theirs: {sorted(down)}; maximum is'
                f' {self._maximum}'
            )


class Twice:
    """TWICE: two runs of a task at the same time, or one after its end.

    Args:
        system: The system.
    """

    def __init__(self, system):
        self._system = system
        self._live = {}
        self._done = {}
        system.observers.append(self)

    def started(self, executor, run):
        live = self._live.setdefault(run.task, {})
        if live:
            self._system.break_rule(
                f'TWICE: {run.task} run {run.number} starts on'
                f' {executor.name} while these are alive: {live}'
            )
        live[executor.name, run.number] = 'alive'

    def ended(self, executor, run, how):
        self._live.get(run.task, {}).pop((executor.name, run.number), None)

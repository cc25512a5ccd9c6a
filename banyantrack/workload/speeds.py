"""Learns the relative speeds of workers from the progress of their runs.

Load: 176 to 1,500 workers, of which a third each run at 0.6, 1.0 and 1.6
times the usual run time, or all alike; a worker runs two to six tasks in ten
seconds and reports the percent of each about once a second. Declared run
times are wrong by 20 to 50 %, equally for all members of a group.

Model, in natural logarithms: the rate of a run, in shares of the expected run
time, is the speed of its host plus an error that its group shares plus an
error of its own. Speeds and shared errors have normal priors. Each group and
host hold one observation, which later samples replace. The estimate of a host
is the weighted sum of its observations; the shared error of a group is
estimated from the other hosts of the group, so that members are compared with
each other and a group on one host counts by its expected run time only.

State: soft state of the leader, keyed by host. It is trusted from the progress
that workers list. Decay, a new incarnation, and samples that contradict the
estimate make an estimate uncertain again. One observation changes a speed by
at most a factor of `MAX_STEP`.
"""

from __future__ import annotations

import dataclasses
import math
import statistics
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import layout

# Variance of the logarithm of a speed before any observation: a third of the
# workers each at 0.6, 1.0 and 1.6 times the usual run time have 0.16.
PRIOR_VARIANCE = 0.2
# Variance of the logarithm of the error that a group shares: declared run
# times are wrong by 20 to 50 %.
GROUP_VARIANCE = 0.2
# Variance of the logarithm of a run's own error, before it is learned: tasks
# of a group differ by 15 to 30 % in work. On some deployments the percent
# does not depend on that: 44, 27 and 18 percent were reported of one gang on
# workers of 1.67, 1.0 and 0.62.
RUN_VARIANCE = 0.03
MIN_RUN_VARIANCE = 0.006
# Weight of a pair of members on one worker in the learned variance, and the
# least progress in percent at which they are compared.
PAIR_WEIGHT = 0.02
MIN_COMPARED_PERCENT = 15
# Least variance of an observation, whatever the number of its runs.
MIN_VARIANCE = 0.005
# Error of a reported percent, and of the time of a report in seconds.
PERCENT_ERROR = 1.0
TIME_ERROR_S = 0.08
# Reported percents are rounded down by this much in the mean.
PERCENT_ROUNDING = 0.5
# Least progress in percent and time in seconds that tell a rate.
MIN_PERCENT = 4
MIN_SPAN_S = 0.3
# Largest factor between an observation and the estimate that is learned from.
MAX_STEP = 3.0
# Time in which the weight of earlier observations halves. Hosts that are idle
# for a minute keep their class.
HALF_LIFE_S = 300.0
# Largest weight of a host's observations, about ten of them, so that later
# ones still count.
MAX_WEIGHT = 250.0
# Most half-lives that one decay counts; keeps its factor above 0.
MAX_HALF_LIVES = 50
# An observation this many standard deviations from the estimate contradicts
# it; after `MAX_CONTRADICTIONS` in a row the estimate becomes uncertain.
CONTRADICTION = 2.5
MAX_CONTRADICTIONS = 2
# Share of the weight of earlier observations that remains then, and that
# remains for a new incarnation on the same host.
RETAINED_SHARE = 0.05
RESTART_RETAINED_SHARE = 0.25
# A host counts as known below this variance.
KNOWN_VARIANCE = 0.08
# Fewest known hosts that tell the spread of a fleet.
MIN_KNOWN = 6
# Interval at which the middle and the spread of the fleet are worked out.
SUMMARY_INTERVAL_S = 1.0
# Once speeds are used, they are used down to this share of the least spread,
# so that placement does not alternate.
HYSTERESIS = 0.9
# Weight of the newest group in the mean error of all groups.
SMOOTHING_WEIGHT = 0.05
# Observations of groups without a report for this long are settled.
GROUP_RETENTION_S = 30.0
# Hosts without an answer for this long are forgotten.
HOST_RETENTION_S = 300.0
# Most messages that one update exchanges again; with 1,500 workers it then
# takes about 5 ms.
MAX_EXCHANGES = 500
# Standard deviations below the estimate that count as almost certain.
SURE_DEVIATIONS = 1.0
_UNKNOWN_SURE_SPEED = math.exp(-SURE_DEVIATIONS * math.sqrt(PRIOR_VARIANCE))
# A speed that has changed by less than this factor is not logged again.
LOGGED_CHANGE = 1.3
_LOG_CHANGE = math.log(LOGGED_CHANGE)
_MAX_LOG_STEP = math.log(MAX_STEP)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Progress of the runs of one group on one worker.

    Attributes:
        group: The group.
        run: Number of the runs; differs between the tasks of a step that is
            no gang.
        index: Index of the task; -1 for all members of a gang together.
        percent: Mean progress in percent.
        runs: Number of runs.
        run_variance: Variance of the logarithm of the progress between the
            runs; None if they cannot be compared.
        expected_ms: Expected run time at speed 1.0, in milliseconds.
        began_s: Returns the steady time at which the runs began to work;
            None if it is unknown or if they began from a checkpoint.
    """

    group: layout.GroupKey
    run: int
    index: int
    percent: float
    runs: int
    run_variance: float | None
    expected_ms: float
    began_s: collections.abc.Callable[[], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class RunSample:
    """Progress of one run.

    Attributes:
        run: The run.
        gang: Whether its group is a gang.
        percent: Progress in percent.
        expected_ms: Expected run time at speed 1.0, in milliseconds.
        began_s: Returns the steady time at which the run began to work; None
            if it is unknown or if it began from a checkpoint.
    """

    run: layout.RunId
    gang: bool
    percent: float
    expected_ms: float
    began_s: collections.abc.Callable[[], float | None]


def samples(
    runs: collections.abc.Iterable[RunSample],
) -> collections.abc.Iterator[Sample]:
    """Joins the runs of one worker: all members of a gang are one sample."""
    gangs: dict[tuple[layout.GroupKey, int], list[RunSample]] = {}
    for sample in runs:
        group = sample.run.task.group
        if sample.gang:
            gangs.setdefault((group, sample.run.run), []).append(sample)
            continue
        yield Sample(
            group,
            sample.run.run,
            sample.run.task.index,
            sample.percent,
            1,
            None,
            sample.expected_ms,
            sample.began_s,
        )
    for (group, number), members in gangs.items():
        # A member that is through no longer tells the rate of the others.
        percents = [member.percent for member in members]
        percent = 100.0 if max(percents) >= 100 else statistics.fmean(percents)
        yield Sample(
            group,
            number,
            -1,
            percent,
            len(members),
            _run_variance(percents),
            members[0].expected_ms,
            members[0].began_s,
        )


def _run_variance(percents: list[float]) -> float | None:
    """Returns the variance of the logarithm of the runs' progress.

    The part that rounding to whole percents explains is left out.
    """
    if (
        len(percents) < 2
        or min(percents) < MIN_COMPARED_PERCENT
        or max(percents) >= 100
    ):
        return None
    logs = [math.log(percent) for percent in percents]
    rounding = 1 / 12 / statistics.fmean(percents) ** 2
    return max(statistics.variance(logs) - rounding, 0.0)


@dataclasses.dataclass(slots=True)
class _Track:
    """Progress of a sample's runs since a baseline."""

    percent: float
    at_s: float
    last_percent: float
    seen_s: float


@dataclasses.dataclass(slots=True)
class _Observation:
    """What a group tells of a host.

    Attributes:
        value: Logarithm of the rate in shares of the expected run time.
        variance: Variance of its own error.
        message: Mean and weight that the host's estimate holds of it.
        log_scale: The host's `log_scale` when it got the message.
    """

    value: float
    variance: float
    message: tuple[float, float] = (0.0, 0.0)
    log_scale: float = 0.0


@dataclasses.dataclass(slots=True)
class _Group:
    """Observations of a group by host, and the sums that their errors have.

    Attributes:
        log_expected: Logarithm of the expected run time in seconds for each
            percent, when the group was first seen.
        observations: By host.
        weight: Sum of the weights of the observations.
        weighted: Sum of the weighted shared errors.
        parts: What each host has added to both sums.
        seen_s: Steady time of the last sample.
    """

    log_expected: float
    observations: dict[str, _Observation] = dataclasses.field(
        default_factory=dict
    )
    weight: float = 0.0
    weighted: float = 0.0
    parts: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    seen_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Host:
    """Estimate of a host's speed.

    Attributes:
        incarnation: Incarnation of its worker.
        weight: Sum of the weights of the observations.
        weighted: Sum of the weighted logarithms of the speed.
        updated_s: Steady time to which both sums are decayed.
        log_scale: Logarithm of the factor by which weights from the first
            observation on have decreased.
        contradictions: Number of contradicting samples in a row.
        observed: Number of observations.
        told: Logarithm of the speed that `changes` last returned.
    """

    incarnation: int = 0
    weight: float = 0.0
    weighted: float = 0.0
    updated_s: float = 0.0
    log_scale: float = 0.0
    contradictions: int = 0
    observed: int = 0
    told: float = 0.0

    @property
    def variance(self) -> float:
        """Variance of the logarithm of the speed."""
        return 1 / (1 / PRIOR_VARIANCE + self.weight)

    @property
    def mean(self) -> float:
        """Mean of the logarithm of the speed."""
        return self.weighted * self.variance

    def scale(self, factor: float) -> None:
        """Decreases the weight of all observations by a factor."""
        self.weight *= factor
        self.weighted *= factor
        self.log_scale += math.log(factor)


class WorkerSpeeds:
    """Relative speeds of workers; 1.0 is the middle of the fleet.

    Args:
        spread_min: Least spread at which speeds are used; 0 for never.
    """

    def __init__(self, spread_min: float = 0.0) -> None:
        self._spread_min = spread_min
        self._hosts: dict[str, _Host] = {}
        self._groups: dict[layout.GroupKey, _Group] = {}
        self._tracks: dict[str, dict[tuple, _Track]] = {}
        # Results of `bounds` that are still valid, by host.
        self._bounds: dict[str, tuple[float, float]] = {}
        self._run_variance = RUN_VARIANCE
        self._mean_error = 0.0
        self._middle = 0.0
        self._spread = 1.0
        self._known = 0
        self._summary_at_s = float('-inf')
        self._in_use = False

    @property
    def enabled(self) -> bool:
        """Whether speeds may be used at all."""
        return self._spread_min > 0

    @property
    def in_use(self) -> bool:
        """Whether the spread of the fleet was wide enough lately."""
        return self._in_use

    @property
    def known(self) -> int:
        """Number of hosts whose speed is known."""
        return self._known

    def spread(self) -> float:
        """Returns the fastest tenth over the slowest tenth of known workers.

        The part of the spread that the uncertainty of the estimates explains
        is left out.
        """
        return self._spread

    def speed(self, worker: str) -> float:
        """Returns the speed of a worker's host; 1.0 if it is unknown."""
        host = self._hosts.get(worker)
        if host is None or not host.observed:
            return 1.0
        return math.exp(host.mean - self._middle)

    def gang_speed(self, group: layout.GroupKey, worker: str) -> float:
        """Returns the speed of the slowest host of a gang.

        Args:
            group: The gang.
            worker: Host of one of its members; the others count once their
                progress was observed.
        """
        found = self._groups.get(group)
        hosts = {worker, *(found.observations if found else ())}
        return min(map(self.speed, hosts))

    def changes(self) -> list[tuple[str, float, float]]:
        """Returns the hosts whose known speeds have changed since last asked.

        Returns:
            Host, speed and standard deviation of its logarithm.
        """
        found = []
        for name, host in self._hosts.items():
            if not host.observed or host.variance > KNOWN_VARIANCE:
                continue
            mean = host.mean - self._middle
            if abs(mean - host.told) < _LOG_CHANGE:
                continue
            host.told = mean
            found.append((name, math.exp(mean), math.sqrt(host.variance)))
        return found

    def bounds(self, worker: str) -> tuple[float, float]:
        """Returns a speed, and the one that is reached almost certainly."""
        found = self._bounds.get(worker)
        if found is None:
            host = self._hosts.get(worker)
            if host is None or not host.observed:
                return 1.0, _UNKNOWN_SURE_SPEED
            mean = host.mean - self._middle
            sure = mean - SURE_DEVIATIONS * math.sqrt(host.variance)
            found = self._bounds[worker] = (math.exp(mean), math.exp(sure))
        return found

    def observe(
        self,
        worker: str,
        samples: collections.abc.Iterable[Sample],
        now_s: float,
        *,
        incarnation: int = 0,
    ) -> None:
        """Learns from the progress that a worker lists.

        Args:
            worker: Host of the worker.
            samples: Progress of all its runs.
            now_s: Steady time of the list.
            incarnation: Incarnation of the worker.
        """
        host = self._hosts.setdefault(
            worker, _Host(incarnation, updated_s=now_s)
        )
        if host.incarnation != incarnation:
            host.incarnation = incarnation
            host.scale(RESTART_RETAINED_SHARE)
            self._bounds.pop(worker, None)
        self._decay(host, now_s)
        previous = self._tracks.get(worker, {})
        current: dict[tuple, _Track] = {}
        for sample in samples:
            key = (sample.group, sample.run, sample.index)
            track = previous.get(key)
            if track is None or sample.percent < track.last_percent:
                track = _baseline(sample, now_s, first=track is None)
                if track is None:
                    continue
            current[key] = track
            # A member shows 100 until the slowest of its gang is through.
            if sample.percent >= 100 or sample.percent <= track.last_percent:
                continue
            track.last_percent, track.seen_s = sample.percent, now_s
            gained = sample.percent - track.percent
            span_s = now_s - track.at_s
            if gained < MIN_PERCENT or span_s < MIN_SPAN_S:
                continue
            value = math.log(gained / span_s)
            if sample.run_variance is not None:
                self._learn_run_variance(sample.run_variance, sample.runs)
            variance = (
                max(self._run_variance / sample.runs, MIN_VARIANCE)
                + (PERCENT_ERROR / gained) ** 2
                + (TIME_ERROR_S / span_s) ** 2
            )
            self._add(worker, host, sample, value, variance, now_s)
        self._tracks[worker] = current

    def update(self, now_s: float) -> bool:
        """Works out the middle and the spread if that is due.

        Returns:
            Whether `in_use` has changed.
        """
        if now_s - self._summary_at_s < SUMMARY_INTERVAL_S:
            return False
        self._summary_at_s = now_s
        self._bounds.clear()
        self._drop_old(now_s)
        self._refine()
        # The mean and the variance of each known host.
        known = [
            (host.weighted * variance, variance)
            for host in self._hosts.values()
            if host.observed and (variance := host.variance) < KNOWN_VARIANCE
        ]
        self._known = len(known)
        if len(known) < MIN_KNOWN:
            self._spread = 1.0
        else:
            means = sorted(mean for mean, _ in known)
            self._middle = statistics.median(means)
            tenth = (len(means) - 1) // 10
            center = sum(means) / len(means)
            total = sum((mean - center) ** 2 for mean in means)
            noise = sum(variance for _, variance in known)
            share = max(1 - noise / total, 0.0) if total > 0 else 0.0
            width = means[-1 - tenth] - means[tenth]
            self._spread = math.exp(width * math.sqrt(share))
        limit = self._spread_min * (HYSTERESIS if self._in_use else 1.0)
        in_use = self.enabled and self._spread >= limit
        changed = in_use is not self._in_use
        self._in_use = in_use
        return changed

    def _add(
        self,
        worker: str,
        host: _Host,
        sample: Sample,
        value: float,
        variance: float,
        now_s: float,
    ) -> None:
        """Replaces what a group tells of a host."""
        group = self._groups.get(sample.group)
        if group is None:
            group = self._groups[sample.group] = _Group(
                math.log(max(sample.expected_ms, 1.0) / 100_000)
            )
        value += group.log_expected
        group.seen_s = now_s
        observation = group.observations.get(worker)
        if observation is None:
            observation = _Observation(value, variance)
            group.observations[worker] = observation
            host.observed += 1
        elif sample.index >= 0:
            # Tasks of a step on one host: the mean of their latest rates.
            observation.value += 0.5 * (value - observation.value)
            observation.variance = max(
                MIN_VARIANCE, min(variance, 0.8 * observation.variance)
            )
        else:
            observation.value, observation.variance = value, variance
        self._exchange(worker, host, group, observation, sampled=True)

    def _exchange(
        self,
        worker: str,
        host: _Host,
        group: _Group,
        observation: _Observation,
        *,
        sampled: bool,
    ) -> None:
        """Updates what an observation tells its host and its group."""
        # The estimate without this observation.
        mean, weight = observation.message
        weight *= math.exp(host.log_scale - observation.log_scale)
        host.weight = max(host.weight - weight, 0.0)
        host.weighted -= weight * mean
        old_weight, old_weighted = group.parts.pop(worker, (0.0, 0.0))
        group.weight = max(group.weight - old_weight, 0.0)
        group.weighted -= old_weighted
        error, error_variance = self._shared_error(group)
        # What the other hosts say of the shared error gives the speed.
        told = observation.value - error
        told_variance = observation.variance + error_variance
        rest = host.mean
        surprise = told - rest
        if not sampled:
            pass
        elif abs(surprise) > CONTRADICTION * math.sqrt(
            told_variance + host.variance
        ):
            host.contradictions += 1
            if host.contradictions >= MAX_CONTRADICTIONS:
                host.contradictions = 0
                host.scale(RETAINED_SHARE)
        else:
            host.contradictions = 0
        told = rest + min(max(surprise, -_MAX_LOG_STEP), _MAX_LOG_STEP)
        told = min(max(told, -2 * _MAX_LOG_STEP), 2 * _MAX_LOG_STEP)
        # What this host says of the shared error, for the others.
        part_weight = 1 / (observation.variance + host.variance)
        part_error = observation.value - rest
        part_error = min(max(part_error, -2.0), 2.0)
        group.parts[worker] = (part_weight, part_weight * part_error)
        group.weight += part_weight
        group.weighted += part_weight * part_error
        observation.message = (told, 1 / told_variance)
        observation.log_scale = host.log_scale
        host.weight += 1 / told_variance
        host.weighted += told / told_variance
        if host.weight > MAX_WEIGHT:
            host.scale(MAX_WEIGHT / host.weight)
        self._bounds.pop(worker, None)

    def _drop_old(self, now_s: float) -> None:
        for key, group in list(self._groups.items()):
            if now_s - group.seen_s > GROUP_RETENTION_S:
                self._settle(key)
        for name, host in list(self._hosts.items()):
            if now_s - host.updated_s > HOST_RETENTION_S:
                del self._hosts[name]
                self._tracks.pop(name, None)

    def _refine(self) -> None:
        """Exchanges messages again, for the groups that waited longest.

        Hosts that have become known tell more of the shared error.
        """
        exchanges = 0
        for key in list(self._groups):
            group = self._groups.pop(key)
            self._groups[key] = group
            for worker, observation in group.observations.items():
                host = self._hosts.get(worker)
                if host is not None:
                    exchanges += 1
                    self._exchange(
                        worker, host, group, observation, sampled=False
                    )
            if exchanges >= MAX_EXCHANGES:
                break

    def _learn_run_variance(self, variance: float, runs: int) -> None:
        weight = PAIR_WEIGHT * min(runs - 1, 4)
        # A straggler counts no more than the widest usual difference.
        variance = min(variance, 4 * RUN_VARIANCE)
        learned = self._run_variance
        learned += weight * (variance - learned)
        self._run_variance = max(learned, MIN_RUN_VARIANCE)

    def _shared_error(self, group: _Group) -> tuple[float, float]:
        """Returns mean and variance of the error that a group shares."""
        weight = 1 / GROUP_VARIANCE + group.weight
        error = self._mean_error / GROUP_VARIANCE + group.weighted
        return error / weight, 1 / weight

    def _settle(self, key: layout.GroupKey) -> None:
        group = self._groups.pop(key)
        error, _ = self._shared_error(group)
        self._mean_error += SMOOTHING_WEIGHT * (error - self._mean_error)

    def _decay(self, host: _Host, now_s: float) -> None:
        age_s = max(now_s - host.updated_s, 0.0)
        host.updated_s = now_s
        host.scale(0.5 ** min(age_s / HALF_LIFE_S, MAX_HALF_LIVES))


def _baseline(sample: Sample, now_s: float, *, first: bool) -> _Track | None:
    """Returns the baseline of a sample; None if its runs may not work yet."""
    began_s = sample.began_s() if first else None
    if began_s is not None:
        return _Track(-PERCENT_ROUNDING, began_s, 0.0, began_s)
    if sample.percent <= 0:
        return None
    return _Track(sample.percent, now_s, sample.percent, now_s)

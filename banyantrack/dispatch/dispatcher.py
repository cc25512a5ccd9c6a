"""Assigns backend slots to requests, queues requests or refuses them."""

from __future__ import annotations

import enum
import math
import random
import time
import typing

import curio

from banyantrack.core import errors
from banyantrack.core import states
from banyantrack.dispatch import balancing
from banyantrack.dispatch import queueing
from banyantrack.dispatch import requests as requests_module
from banyantrack.dispatch import shares
from banyantrack.dispatch import statistics
from banyantrack.dispatch import targets as targets_module
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings_types
    from banyantrack.membership import backends as backends_module
    from banyantrack.membership import config as config_module
    from banyantrack.membership import gossip as gossip_module

QUICK = states.ServiceClass.QUICK
LONG = states.ServiceClass.LONG
RELEASE_RATE_WINDOW_S = 1.0
# Weight of the newest sample in the moving average of the demand.
DEMAND_SAMPLE_WEIGHT = 0.3
# A route is moved to the long lane once its median run time exceeds the
# median run time of all quick requests by this factor.
LONG_RUN_TIME_FACTOR = 8.0
# Allowance for the network round trip, as a multiple of the run time.
RUN_TIME_MARGIN = 1.15
# Hedges are sent only while at most this share of the owned slots is in use.
HEDGE_MAX_UTILIZATION = 0.9
# Largest number of backends with a free slot compared for one request.
CANDIDATE_SAMPLE_SIZE = 5
MAX_RETRY_AFTER_S = 30
# Time constant with which the recorded peak of quick work decays.
QUICK_PEAK_DECAY_S = 10.0
# Quick work keeps this multiple of its recent peak in reserved slots; only
# the rest of the reserve is lent to long work.
LEND_HEADROOM = 2.0


class Cause(enum.Enum):
    """Why a request was refused."""

    NO_BACKEND = 'no-backend'
    QUEUE_FULL = 'queue-full'
    TOO_LATE = 'too-late'
    STOPPING = 'stopping'
    CUT_OFF = 'cut-off'
    NO_CONFIG = 'no-config'


class RefusedError(errors.BanyanError):
    """A request was refused before it ran.

    Attributes:
        cause: Reason for the refusal.
        retry_after_s: Seconds after which the caller should retry.
    """

    def __init__(self, cause: Cause, message: str, retry_after_s: int) -> None:
        super().__init__(message)
        self.cause = cause
        self.retry_after_s = retry_after_s


class Dispatcher:
    """Slots, lanes and queues of one entry.

    Args:
        settings: Dispatch settings.
        backends: Announced backends.
        config: Configuration in force.
        name: Name of this entry.
        zone: Zone of this entry.
        rng: Random number generator; a new one with a random seed if None.
    """

    def __init__(
        self,
        settings: settings_types.DispatchSettings,
        backends: backends_module.BackendTable,
        config: config_module.Config,
        *,
        name: str,
        zone: str,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._backends = backends
        self._config = config
        self._name = name
        self._context = balancing.Context(zone, rng or random.Random())
        self._balance = balancing.BALANCERS.get(settings.balancer)
        self._slotless = settings.balancer in balancing.SLOTLESS
        self._gossip: gossip_module.Gossip | None = None
        self._targets: dict[str, targets_module.Target] = {}
        self._routes = requests_module.RouteTable()
        self._run_times: dict[str, statistics.RunTimes] = {}
        self._quick_run_times = statistics.RunTimes()
        self._weights: dict[str, float] = {}
        self._candidates: dict[str, list[targets_module.Target]] = {}
        # Config revision and backend generation of the last refresh.
        self._applied_versions = (-1, -1)
        self._applied_zones: frozenset[str] = frozenset()
        self._queues = {
            lane: queueing.LaneQueue(self._weight) for lane in (QUICK, LONG)
        }
        self._release_rates = {
            lane: statistics.DecayingRate(RELEASE_RATE_WINDOW_S)
            for lane in (QUICK, LONG)
        }
        self._in_flight = {QUICK: 0, LONG: 0}
        # Decaying peak of quick slots in use plus queued quick requests.
        self._quick_peak = 0.0
        self._quick_peak_updated_at = time.monotonic()
        self._demand = 0.0
        # Backend slots assigned to this entry in the division among entries.
        self._owned_slots = 0
        self._stopping = False
        self._chosen: targets_module.Target | None = None

    @property
    def routes(self) -> requests_module.RouteTable:
        """Routes in force."""
        return self._routes

    @property
    def in_flight(self) -> int:
        """Slots in use by this entry."""
        return sum(self._in_flight.values())

    @property
    def owned_slots(self) -> int:
        """Backend slots assigned to this entry in the last division."""
        return self._owned_slots

    @property
    def waiting(self) -> int:
        """Number of queued requests in both lanes."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def settings(self) -> settings_types.DispatchSettings:
        """Dispatch settings."""
        return self._settings

    def attach(self, gossip: gossip_module.Gossip) -> None:
        """Sets the source of the other entries' load and demand."""
        self._gossip = gossip

    def run_times(self, route: requests_module.Route) -> statistics.RunTimes:
        """Returns the run time statistics of a route."""
        found = self._run_times.get(route.name)
        if found is None:
            found = self._run_times[route.name] = statistics.RunTimes()
        return found

    # Load and demand published to other entries.

    def loads(self) -> list[cluster.BackendLoad]:
        """Returns the slots in use at each backend with any in use."""
        return [
            cluster.BackendLoad(
                backend_id=backend_id,
                in_flight=target.in_flight,
                long_in_flight=target.long_in_flight,
            )
            for backend_id, target in self._targets.items()
            if target.in_flight
        ]

    def demand(self) -> float:
        """Returns the moving average of slots in use plus queued requests."""
        return self._demand

    # Configuration, backends and division of slots.

    def refresh(self) -> None:
        """Applies changed routes, backends and labels, if there are any."""
        versions = (self._config.revision, self._backends.generation)
        zones = self._config.evacuated_zones
        if versions == self._applied_versions and zones == self._applied_zones:
            return
        self._applied_zones = zones
        if versions[0] != self._applied_versions[0]:
            self._refresh_config()
        # Operator labels set by the refresh raise the backend generation.
        self._applied_versions = (versions[0], self._backends.generation)
        for backend in self._backends:
            if backend.backend_id not in self._targets:
                target = targets_module.Target(backend)
                self._targets[backend.backend_id] = target
        for backend_id in list(self._targets):
            if self._backends.get(backend_id) is None:
                if not self._targets[backend_id].in_flight:
                    del self._targets[backend_id]
        self._candidates = {
            route.name: self._eligible_targets(route) for route in self._routes
        }
        self.update_owned_slots()

    def update_owned_slots(self) -> None:
        """Computes this entry's owned slots; called every gossip interval."""
        # Peers compute the division from the demand published to them. With
        # a newer value here, all entries would claim too many slots while
        # demand rises.
        published_demand = self._demand
        current_demand = self.in_flight + self.waiting
        self._demand += DEMAND_SAMPLE_WEIGHT * (current_demand - self._demand)
        present = self._gossip.present_peers if self._gossip else []
        demands = [shares.Demand(peer.name, peer.demand) for peer in present]
        demands.append(shares.Demand(self._name, published_demand))
        division = shares.Division(demands, self._name)
        quick_reserve = self._quick_reserve_share()
        connection_limit = self._settings.backend_connections // len(demands)
        for backend_id, target in self._targets.items():
            slots = target.backend.slots
            target.lapsed = self._backends.lapsed(target.backend)
            owned = division.owned_slot_indices(backend_id, slots)
            # The last slots of each backend are reserved for quick work.
            first_quick_only = slots - math.ceil(slots * quick_reserve)
            target.owned_slots = min(len(owned), max(connection_limit, 1))
            target.owned_quick_only_slots = sum(
                slot >= first_quick_only for slot in owned
            )
            self._update_peer_load(backend_id, target, present)
        self._owned_slots = sum(t.owned_slots for t in self._targets.values())

    def _update_peer_load(
        self,
        backend_id: str,
        target: targets_module.Target,
        present: list[gossip_module.Peer],
    ) -> None:
        target.peer_in_flight = 0
        target.peer_long_in_flight = 0
        for peer in present:
            load = peer.loads.get(backend_id)
            if load is not None:
                target.peer_in_flight += load[0]
                target.peer_long_in_flight += load[1]

    def _quick_reserve_share(self) -> float:
        """Returns the share of slots that only quick work may use.

        Reserved slots that exceed the recent peak of quick work with its
        headroom are lent to long work, up to half of the reserve.
        """
        reserve = self._settings.quick_reserve
        owned = self._owned_slots
        if not owned:
            return reserve
        now_s = time.monotonic()
        decay = math.exp(
            -(now_s - self._quick_peak_updated_at) / QUICK_PEAK_DECAY_S
        )
        self._quick_peak_updated_at = now_s
        current = self._in_flight[QUICK] + len(self._queues[QUICK])
        self._quick_peak = max(self._quick_peak * decay, current)
        needed_share = LEND_HEADROOM * self._quick_peak / owned
        return min(reserve, max(needed_share, reserve / 2))

    def _refresh_config(self) -> None:
        kind = intent.ObjectKind
        self._routes = requests_module.RouteTable(
            requests_module.make_route(stored.name, stored.route)
            for stored in self._config.of_kind(kind.ROUTE)
        )
        self._backends.set_operator_labels(
            {
                stored.name: stored.labels.labels
                for stored in self._config.of_kind(kind.BACKEND_LABELS)
            }
        )
        weights: dict[str, float] = {
            stored.name: stored.customer.weight
            for stored in self._config.of_kind(kind.CUSTOMER)
        }
        for stored in self._config.of_kind(kind.GUARANTEE):
            # Guaranteed accelerators add to the weight of their customer.
            guarantee_spec = stored.guarantee
            guaranteed = guarantee_spec.count * guarantee_spec.accelerators
            weights[guarantee_spec.customer] = (
                weights.get(guarantee_spec.customer, 1.0) + guaranteed
            )
        self._weights = weights

    def _weight(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _eligible_targets(
        self, route: requests_module.Route
    ) -> list[targets_module.Target]:
        """Returns the targets of a route.

        Those in evacuated zones are used only if there are no others.
        """
        eligible = [
            target
            for target in self._targets.values()
            if not target.backend.leaving
            and route.selector.matches(target.backend.labels)
        ]
        elsewhere = [
            target
            for target in eligible
            if target.backend.zone not in self._applied_zones
        ]
        return elsewhere or eligible

    # Slots.

    def lane(
        self, request: requests_module.CallerRequest
    ) -> states.ServiceClass:
        """Returns the lane of a request.

        A route declared quick is treated as long if its observed run times
        are long, and so is a request whose body is not complete yet.
        """
        route = request.route
        if route.service_class is LONG or not request.body_complete:
            return LONG
        times = self.run_times(route)
        quick_median_s = self._quick_run_times.median_s
        if (
            times.has_enough_samples
            and quick_median_s
            and (times.median_s > LONG_RUN_TIME_FACTOR * quick_median_s)
        ):
            return LONG
        return QUICK

    async def acquire(
        self, request: requests_module.CallerRequest
    ) -> targets_module.Target:
        """Reserves the slots of a request, waiting in its lane if needed.

        Raises:
            RefusedError: If no slot is expected in time, no backend matches
                the route, the queue is full or this entry is stopping.
        """
        self.refresh()
        if self._stopping and not request.attempts:
            raise RefusedError(Cause.STOPPING, 'this entry is stopping', 1)
        request.lane = self.lane(request)
        queue = self._queues[request.lane]
        if not self._candidates.get(request.route.name):
            raise RefusedError(
                Cause.NO_BACKEND,
                f'no backend matches route {request.route.name!r}',
                1,
            )
        if not len(queue):
            target = self._choose_target(request)
            if target is not None:
                self._reserve_slots(target, request)
                return target
        return await self._wait_for_slot(request, queue)

    def try_acquire(
        self,
        request: requests_module.CallerRequest,
        exclude: targets_module.Target,
    ) -> targets_module.Target | None:
        """Reserves slots for a hedge, or returns None.

        A hedge is allowed only while slots are plentiful, since otherwise it
        would use the slot of a first attempt.

        Args:
            request: The request.
            exclude: Backend of the first attempt.
        """
        if (
            self.waiting
            or self.in_flight > HEDGE_MAX_UTILIZATION * self._owned_slots
        ):
            return None
        target = self._choose_target(request, exclude=exclude)
        if target is not None:
            self._reserve_slots(target, request)
        return target

    async def release(
        self,
        request: requests_module.CallerRequest,
        target: targets_module.Target,
    ) -> None:
        """Releases the slots of a request and serves the queues."""
        slots = request.route.slots
        target.release_slots(request.lane, slots)
        self._in_flight[request.lane] -= slots
        errors.check_invariant(
            target.in_flight >= 0 and target.long_in_flight >= 0,
            'backend %s has %d in flight',
            target.backend.backend_id,
            target.in_flight,
        )
        self._release_rates[request.lane].add()
        if self.waiting:
            await self.serve_queues()

    def record_run(
        self,
        request: requests_module.CallerRequest,
        target: targets_module.Target,
        run_s: float,
    ) -> None:
        """Records the run time of a complete answer."""
        target.record_success(run_s)
        self.run_times(request.route).add(run_s)
        if request.route.service_class is QUICK:
            self._quick_run_times.add(run_s)

    def record_unfinished_run(
        self, request: requests_module.CallerRequest, run_s: float
    ) -> None:
        """Records the elapsed time of a timed-out run as its run time."""
        self.run_times(request.route).add(run_s)

    async def serve_queues(self) -> None:
        """Assigns free slots to queued requests, quick lane first."""
        self.refresh()
        for lane in (QUICK, LONG):
            queue = self._queues[lane]
            while len(queue):
                waiter = queue.pop(self._can_leave_queue)
                if waiter is None:
                    break
                if waiter.target is None:
                    waiter.refused = True
                else:
                    self._reserve_slots(waiter.target, waiter.request)
                await waiter.event.set()

    async def stop(self) -> None:
        """Refuses new requests from now on; queued ones are still served."""
        self._stopping = True

    def _reserve_slots(
        self,
        target: targets_module.Target,
        request: requests_module.CallerRequest,
    ) -> None:
        slots = request.route.slots
        target.reserve_slots(request.lane, slots)
        self._in_flight[request.lane] += slots

    def _choose_target(
        self,
        request: requests_module.CallerRequest,
        *,
        exclude: targets_module.Target | None = None,
    ) -> targets_module.Target | None:
        candidates = self._candidates.get(request.route.name, [])
        if self._slotless:
            if not candidates:
                return None
            return self._balance(candidates, self._context)
        free = self._targets_with_free_slots(
            candidates, request, exclude, lapsed=False
        )
        if not free:
            free = self._targets_with_free_slots(
                candidates, request, exclude, lapsed=True
            )
        if not free:
            return None
        return self._balance(free, self._context)

    def _targets_with_free_slots(
        self,
        candidates: list[targets_module.Target],
        request: requests_module.CallerRequest,
        exclude: targets_module.Target | None,
        *,
        lapsed: bool,
    ) -> list[targets_module.Target]:
        """Returns a sample of the backends with enough free slots.

        The scan starts at a random candidate and ends after
        `CANDIDATE_SAMPLE_SIZE` matches.

        Args:
            candidates: Backends that serve the route.
            request: The request.
            exclude: Backend to leave out; none if None.
            lapsed: Whether to return lapsed backends instead of live ones.
        """
        slots = request.route.slots
        lane = request.lane
        count = len(candidates)
        start = self._context.rng.randrange(count) if count else 0
        free: list[targets_module.Target] = []
        for offset in range(count):
            target = candidates[(start + offset) % count]
            if (
                target.free_slots(lane) >= slots
                and target.lapsed is lapsed
                and target is not exclude
            ):
                free.append(target)
                if len(free) == CANDIDATE_SAMPLE_SIZE:
                    break
        return free

    def _can_leave_queue(self, waiter: queueing.Waiter) -> bool:
        """Chooses a target for a queued request, if one has free slots.

        Returns:
            Whether the request leaves the queue. One that can no longer
            finish before its deadline leaves without a target.
        """
        request = waiter.request
        if request.remaining_s < self._median_run_s(request):
            return True
        waiter.target = self._choose_target(request)
        return waiter.target is not None

    def _median_run_s(self, request: requests_module.CallerRequest) -> float:
        return self.run_times(request.route).median_s

    async def _wait_for_slot(
        self,
        request: requests_module.CallerRequest,
        queue: queueing.LaneQueue,
    ) -> targets_module.Target:
        self._check_admission(request, queue)
        waiter = queueing.Waiter(request)
        queue.push(waiter)
        max_wait_s = request.remaining_s - self._median_run_s(request)
        try:
            async with curio.ignore_after(max(max_wait_s, 0)):
                await waiter.event.wait()
        except curio.CancelledError:
            if waiter.target is not None:
                await self.release(request, waiter.target)
            raise
        finally:
            queue.discard(waiter)
        if waiter.target is not None:
            return waiter.target
        raise RefusedError(
            Cause.TOO_LATE,
            'no slot became free in time to meet the deadline',
            self._retry_after_s(request.lane),
        )

    def _check_admission(
        self,
        request: requests_module.CallerRequest,
        queue: queueing.LaneQueue,
    ) -> None:
        """Refuses a request that is unlikely to finish before its deadline.

        Raises:
            RefusedError: If a queue is full or the expected wait is too long.
        """
        lane = request.lane
        if (
            len(queue) >= request.route.queue_limit
            or self.waiting >= self._settings.queue_limit
        ):
            raise RefusedError(
                Cause.QUEUE_FULL,
                f'{len(queue)} requests are already queued',
                self._retry_after_s(lane),
            )
        wait_s = self._expected_wait_s(lane)
        if wait_s + self._median_run_s(request) > request.remaining_s:
            raise RefusedError(
                Cause.TOO_LATE,
                f'the expected wait is {wait_s:.3f} s but the deadline is in'
                f' {request.remaining_s:.3f} s',
                self._retry_after_s(lane),
            )

    def _expected_wait_s(self, lane: states.ServiceClass) -> float:
        rate = self._release_rates[lane].value
        waiting = len(self._queues[lane])
        if not waiting:
            return 0.0
        if rate <= 0:
            return 0.0
        return waiting / rate

    def _retry_after_s(self, lane: states.ServiceClass) -> int:
        wait_s = math.ceil(self._expected_wait_s(lane))
        return min(max(wait_s, 1), MAX_RETRY_AFTER_S)

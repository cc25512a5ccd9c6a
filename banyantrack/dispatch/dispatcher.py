"""Gives requests slots at backends, or queues or refuses them."""

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
DRAIN_WINDOW_S = 1.0
# Weight of the newest look at the demand in its average.
DEMAND_WEIGHT = 0.3
# A route counts as long once its usual run takes this many times the usual
# run of all quick work.
LONG_FACTOR = 8.0
# Room for the way to the backend and back beside its run time.
MARGIN = 1.15
# Share of the own slots in use up to which hedges are made.
HEDGE_SHARE = 0.9
# Backends with a free slot that are compared for one request.
SAMPLE = 5
LONGEST_RETRY_AFTER_S = 30
# Slots that quick work needs at its busiest are remembered this long.
PEAK_WINDOW_S = 10.0
# Headroom over the busiest moment before reserved slots are lent.
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
    """A request was not run.

    Attributes:
        cause: Why.
        retry_after_s: When another try makes sense.
    """

    def __init__(self, cause: Cause, message: str, retry_after_s: int) -> None:
        super().__init__(message)
        self.cause = cause
        self.retry_after_s = retry_after_s


class Dispatcher:
    """Slots, lanes and queues of one entry.

    Args:
        settings: Limits.
        backends: Backends known.
        config: Configuration in force.
        name: Name of this entry.
        zone: Its zone.
        rng: Source of randomness.
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
        self._quick_times = statistics.RunTimes()
        self._weights: dict[str, float] = {}
        self._candidates: dict[str, list[targets_module.Target]] = {}
        self._seen = (-1, -1)
        self._queues = {
            lane: queueing.LaneQueue(self._weight) for lane in (QUICK, LONG)
        }
        self._drained = {
            lane: statistics.DecayingRate(DRAIN_WINDOW_S)
            for lane in (QUICK, LONG)
        }
        self._in_flight = {QUICK: 0, LONG: 0}
        self._quick_peak = 0.0
        self._quick_peak_at = time.monotonic()
        self._demand = 0.0
        # Slots that this entry has in the division among entries.
        self._owned = 0
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
    def owned(self) -> int:
        """Slots that this entry has in the division among entries."""
        return self._owned

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def settings(self) -> settings_types.DispatchSettings:
        """Limits."""
        return self._settings

    def attach(self, gossip: gossip_module.Gossip) -> None:
        """Connects it to what other entries tell."""
        self._gossip = gossip

    def run_times(self, route: requests_module.Route) -> statistics.RunTimes:
        """Returns what is known of a route's run times."""
        found = self._run_times.get(route.name)
        if found is None:
            found = self._run_times[route.name] = statistics.RunTimes()
        return found

    # What is told to other entries.

    def loads(self) -> list[cluster.BackendLoad]:
        """Returns requests in flight by backend."""
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
        """Returns requests in flight and waiting, averaged."""
        return self._demand

    # Keeping up with what is known.

    def refresh(self) -> None:
        """Takes over changed routes, backends and labels."""
        seen = (self._config.revision, self._backends.generation)
        if seen == self._seen:
            return
        if seen[0] != self._seen[0]:
            self._refresh_config()
        # Labels of operators raise the generation of the backends.
        self._seen = (seen[0], self._backends.generation)
        for backend in self._backends:
            if backend.backend_id not in self._targets:
                target = targets_module.Target(backend)
                self._targets[backend.backend_id] = target
        for backend_id in list(self._targets):
            if self._backends.get(backend_id) is None:
                if not self._targets[backend_id].in_flight:
                    del self._targets[backend_id]
        self._candidates = {
            route.name: self._eligible(route) for route in self._routes
        }
        self.divide()

    def divide(self) -> None:
        """Works out which slots this entry has; called with each gossip."""
        # The others know this entry's demand as it was told to them. With a
        # newer one, all entries would take too much when demand rises.
        told = self._demand
        in_flight = self.in_flight + self.waiting
        self._demand += DEMAND_WEIGHT * (in_flight - self._demand)
        present = self._gossip.present if self._gossip else []
        demands = [shares.Demand(peer.name, peer.demand) for peer in present]
        demands.append(shares.Demand(self._name, told))
        division = shares.Division(demands, self._name)
        reserve = self._reserve()
        connections = self._settings.backend_connections // len(demands)
        for backend_id, target in self._targets.items():
            slots = target.backend.slots
            target.lapsed = self._backends.lapsed(target.backend)
            owned = division.owned(backend_id, slots)
            quick_only = slots - math.ceil(slots * reserve)
            target.owned = min(len(owned), max(connections, 1))
            target.owned_quick_only = sum(slot >= quick_only for slot in owned)
            self._note_others(backend_id, target, present)
        self._owned = sum(t.owned for t in self._targets.values())

    def _note_others(
        self,
        backend_id: str,
        target: targets_module.Target,
        present: list[gossip_module.Peer],
    ) -> None:
        target.others = 0
        target.others_long = 0
        for peer in present:
            load = peer.loads.get(backend_id)
            if load is not None:
                target.others += load[0]
                target.others_long += load[1]

    def _reserve(self) -> float:
        """Returns the share of slots that only quick work may use.

        Reserved slots that quick work did not come near to using are lent
        to long work.
        """
        reserve = self._settings.quick_reserve
        owned = self._owned
        if not owned:
            return reserve
        now_s = time.monotonic()
        fade = math.exp(-(now_s - self._quick_peak_at) / PEAK_WINDOW_S)
        self._quick_peak_at = now_s
        current = self._in_flight[QUICK] + len(self._queues[QUICK])
        self._quick_peak = max(self._quick_peak * fade, current)
        wanted = LEND_HEADROOM * self._quick_peak / owned
        return min(reserve, max(wanted, reserve / 2))

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
            found = stored.guarantee
            held = found.count * found.accelerators
            weights[found.customer] = weights.get(found.customer, 1.0) + held
        self._weights = weights

    def _weight(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _eligible(
        self, route: requests_module.Route
    ) -> list[targets_module.Target]:
        return [
            target
            for target in self._targets.values()
            if not target.backend.leaving
            and route.selector.matches(target.backend.labels)
        ]

    # Slots.

    def lane(
        self, request: requests_module.CallerRequest
    ) -> states.ServiceClass:
        """Returns the lane of a request.

        A route that says quick but takes long is treated as long, and so
        is a request whose body is still to come.
        """
        route = request.route
        if route.service_class is LONG or not request.body_complete:
            return LONG
        times = self.run_times(route)
        usual_s = self._quick_times.median_s
        if (
            times.trusted
            and usual_s
            and (times.median_s > LONG_FACTOR * usual_s)
        ):
            return LONG
        return QUICK

    async def acquire(
        self, request: requests_module.CallerRequest
    ) -> targets_module.Target:
        """Waits for a slot.

        Raises:
            RefusedError: If the request will not get one in time.
        """
        self.refresh()
        if self._stopping and not request.attempts:
            raise RefusedError(Cause.STOPPING, 'this entry stops', 1)
        request.lane = self.lane(request)
        queue = self._queues[request.lane]
        if not self._candidates.get(request.route.name):
            raise RefusedError(
                Cause.NO_BACKEND,
                f'no backend matches route {request.route.name!r}',
                1,
            )
        if not len(queue):
            target = self._choose(request)
            if target is not None:
                self._take(target, request)
                return target
        return await self._wait(request, queue)

    def try_acquire(
        self,
        request: requests_module.CallerRequest,
        besides: targets_module.Target,
    ) -> targets_module.Target | None:
        """Takes a slot at another backend for a hedge, if many are free.

        Where few are, a hedge would take the slot of a first attempt.
        """
        if self.waiting or self.in_flight > HEDGE_SHARE * self._owned:
            return None
        target = self._choose(request, besides=besides)
        if target is not None:
            self._take(target, request)
        return target

    async def release(
        self,
        request: requests_module.CallerRequest,
        target: targets_module.Target,
    ) -> None:
        """Frees a slot and hands it to who waits."""
        slots = request.route.slots
        target.give_back(request.lane, slots)
        self._in_flight[request.lane] -= slots
        errors.check_invariant(
            target.in_flight >= 0 and target.long_in_flight >= 0,
            'backend %s has %d in flight',
            target.backend.backend_id,
            target.in_flight,
        )
        self._drained[request.lane].add()
        if self.waiting:
            await self.serve_queues()

    def note_run(
        self,
        request: requests_module.CallerRequest,
        target: targets_module.Target,
        run_s: float,
    ) -> None:
        """Learns from a whole answer."""
        target.note_success(run_s)
        self.run_times(request.route).add(run_s)
        if request.route.service_class is QUICK:
            self._quick_times.add(run_s)

    def note_unfinished(
        self, request: requests_module.CallerRequest, run_s: float
    ) -> None:
        """Learns that a request takes longer than some time."""
        self.run_times(request.route).add(run_s)

    async def serve_queues(self) -> None:
        """Hands free slots to requests that wait."""
        self.refresh()
        for lane in (QUICK, LONG):
            queue = self._queues[lane]
            while len(queue):
                waiter = queue.pop(self._fits)
                if waiter is None:
                    break
                if waiter.target is None:
                    waiter.refused = True
                else:
                    self._take(waiter.target, waiter.request)
                await waiter.event.set()

    async def stop(self) -> None:
        """Takes no new requests; those that wait are still served."""
        self._stopping = True

    def _take(
        self,
        target: targets_module.Target,
        request: requests_module.CallerRequest,
    ) -> None:
        slots = request.route.slots
        target.take(request.lane, slots)
        self._in_flight[request.lane] += slots

    def _choose(
        self,
        request: requests_module.CallerRequest,
        *,
        besides: targets_module.Target | None = None,
    ) -> targets_module.Target | None:
        candidates = self._candidates.get(request.route.name, [])
        if self._slotless:
            if not candidates:
                return None
            return self._balance(candidates, self._context)
        free = self._free(candidates, request, besides, lapsed=False)
        if not free:
            free = self._free(candidates, request, besides, lapsed=True)
        if not free:
            return None
        return self._balance(free, self._context)

    def _free(
        self,
        candidates: list[targets_module.Target],
        request: requests_module.CallerRequest,
        besides: targets_module.Target | None,
        *,
        lapsed: bool,
    ) -> list[targets_module.Target]:
        """Returns some backends with a free slot, from a turning start."""
        slots = request.route.slots
        lane = request.lane
        count = len(candidates)
        start = self._context.rng.randrange(count) if count else 0
        free: list[targets_module.Target] = []
        for offset in range(count):
            target = candidates[(start + offset) % count]
            if (
                target.free(lane) >= slots
                and target.lapsed is lapsed
                and target is not besides
            ):
                free.append(target)
                if len(free) == SAMPLE:
                    break
        return free

    def _fits(self, waiter: queueing.Waiter) -> bool:
        """Finds a slot for a waiting request.

        One that cannot end in time is taken out of the queue without.
        """
        request = waiter.request
        if request.left_s < self._usual_run_s(request):
            return True
        waiter.target = self._choose(request)
        return waiter.target is not None

    def _usual_run_s(self, request: requests_module.CallerRequest) -> float:
        return self.run_times(request.route).median_s

    async def _wait(
        self,
        request: requests_module.CallerRequest,
        queue: queueing.LaneQueue,
    ) -> targets_module.Target:
        self._admit(request, queue)
        waiter = queueing.Waiter(request)
        queue.push(waiter)
        left_s = request.left_s - self._usual_run_s(request)
        try:
            async with curio.ignore_after(max(left_s, 0)):
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
            'no slot was free early enough before the deadline',
            self._retry_after_s(request.lane),
        )

    def _admit(
        self,
        request: requests_module.CallerRequest,
        queue: queueing.LaneQueue,
    ) -> None:
        """Refuses early what would wait in vain."""
        lane = request.lane
        if (
            len(queue) >= request.route.queue_limit
            or self.waiting >= self._settings.queue_limit
        ):
            raise RefusedError(
                Cause.QUEUE_FULL,
                f'{len(queue)} requests wait already',
                self._retry_after_s(lane),
            )
        wait_s = self._expected_wait_s(lane)
        if wait_s + self._usual_run_s(request) > request.left_s:
            raise RefusedError(
                Cause.TOO_LATE,
                f'the expected wait is {wait_s:.3f} s and the deadline is in'
                f' {request.left_s:.3f} s',
                self._retry_after_s(lane),
            )

    def _expected_wait_s(self, lane: states.ServiceClass) -> float:
        rate = self._drained[lane].value
        waiting = len(self._queues[lane])
        if not waiting:
            return 0.0
        if rate <= 0:
            return 0.0
        return waiting / rate

    def _retry_after_s(self, lane: states.ServiceClass) -> int:
        wait_s = math.ceil(self._expected_wait_s(lane))
        return min(max(wait_s, 1), LONGEST_RETRY_AFTER_S)

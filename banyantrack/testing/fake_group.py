"""Members of a replication group on a fake network and faulty disks.

All members run in one curio kernel in virtual time. Messages are lost,
duplicated, delayed or dropped between members in one or both directions.
Disks may be slow, and may lose unsynced data when a member crashes.
"""

from __future__ import annotations

import os
import pathlib
import random
import shutil
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import codec
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.replication import ttypes
from banyantrack.replication import api
from banyantrack.replication import elections
from banyantrack.replication import errors
from banyantrack.replication import joining
from banyantrack.replication import replica as replica_module
from banyantrack.replication import storage as storage_module
from banyantrack.testing import virtual
from banyantrack.transport import messages
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

# Ranges of the delay of a message and of a call that blocks on a slow disk.
DELAY_S = (0.0005, 0.008)
SLOW_DISK_DELAY_S = (0.05, 0.4)
OPTIONS = api.Options(
    election_timeout_s=0.3,
    heartbeat_s=0.08,
    snapshot_entries=40,
    snapshot_chunk_bytes=700,
    append_bytes=4000,
)


class FakeNetwork:
    """Transports messages between members.

    Args:
        rng: Source of faults and delays.

    Attributes:
        cuts: Pairs of source and target addresses between which messages
            are lost.
        loss: Share of messages that are lost, from 0 to 1.
        duplication: Share of requests that are delivered twice.
        extra_delay_s: Delay of each message besides the usual one.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._members: dict[str, FakeMember] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_s = 0.0

    def attach(self, address: str, member: FakeMember) -> None:
        """Makes a member reachable."""
        self._members[address] = member

    def heal(self) -> None:
        """Ends all faults."""
        self.cuts.clear()
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_s = 0.0

    async def send_request(
        self, source: str, target: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Delivers a request and returns its reply.

        Raises:
            rpc.TransportError: If no reply arrives within timeout_s.
            rpc.CallError: If the member answers with an error.
        """
        try:
            async with curio.timeout_after(timeout_s):
                return await self._exchange(source, target, request)
        except curio.TaskTimeout:
            raise rpc.TransportError('no reply', sent=True) from None

    async def _exchange(
        self, source: str, target: str, request: typing.Any
    ) -> typing.Any:
        data = codec.encode(request)
        call = messages.BY_REQUEST[type(request)]
        await self._transmit(source, target)
        if self._rng.random() < self.duplication:
            await curio.spawn(self._deliver_duplicate, target, call, data)
        reply = await self._deliver(target, call, data)
        encoded = codec.encode(reply)
        await self._transmit(target, source)
        return codec.decode(call.reply, encoded)

    async def _transmit(self, source: str, target: str) -> None:
        await curio.sleep(self._rng.uniform(*DELAY_S) + self.extra_delay_s)
        lost = self._rng.random() < self.loss
        if lost or (source, target) in self.cuts:
            await curio.sleep(1e6)

    async def _deliver(
        self, target: str, call: messages.CallType, data: bytes
    ) -> typing.Any:
        member = self._members.get(target)
        if member is None or not member.running:
            raise rpc.TransportError('refused', sent=False)
        return await member.receive_in_task(codec.decode(call.request, data))

    async def _deliver_duplicate(
        self, target: str, call: messages.CallType, data: bytes
    ) -> None:
        await curio.sleep(self._rng.uniform(0, 0.5))
        try:
            await self._deliver(target, call, data)
        except (rpc.TransportError, rpc.CallError):
            pass


class _MemberTransport:
    """Transport of one member."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def call(
        self, address: str, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends one request; see `api.Transport`."""
        return await self._network.send_request(
            self._address, address, request, timeout_s
        )


class FakeMember:
    """A member that can crash, restart and lose its disk.

    Args:
        name: Its name, from which its address is derived.
        folder: Its data folder.
        network: The network.
        machine: Returns a new state machine.
        contacts: Addresses of the configured members.
        rng: Source of faults.
        options: Options of its replica.

    Attributes:
        slow_disk: Whether calls that block on the disk are delayed.
        sync_s: Virtual time that passes during each sync, in seconds; no
            task of any member runs meanwhile.
        sync_wait_s: Virtual time that each sync takes in its thread, in
            seconds; tasks run meanwhile.
        machine: State machine of the last start.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        network: FakeNetwork,
        machine: collections.abc.Callable[[], api.StateMachine],
        *,
        contacts: list[str],
        rng: random.Random,
        options: api.Options = OPTIONS,
    ) -> None:
        self.name = name
        self.address = address_of(name)
        self._folder = folder
        self._network = network
        self._make_machine = machine
        self._contacts = contacts
        self._rng = rng
        self._options = options
        self._task: curio.Task | None = None
        self._replica: replica_module.Replica | None = None
        self._storage: storage_module.Storage | None = None
        self._synced_sizes: dict[int, int] = {}
        self._handlers: set[curio.Task] = set()
        self.slow_disk = False
        self.sync_s = 0.0
        self.sync_wait_s = 0.0
        self.machine: api.StateMachine | None = None
        network.attach(self.address, self)

    @property
    def folder(self) -> pathlib.Path:
        """Its data folder."""
        return self._folder

    @property
    def running(self) -> bool:
        """Whether the member runs."""
        return self._replica is not None

    @property
    def replica(self) -> replica_module.Replica:
        """Replica of the running member; None while it is stopped."""
        return self._replica

    async def start(self, *, bootstrap: bool = False) -> None:
        """Starts the member with the data in its folder.

        Args:
            bootstrap: Whether it forms a new group.
        """
        storage = storage_module.Storage(
            self._folder, self.name, sync=self._sync
        )
        self._storage = storage
        self.machine = self._make_machine()
        member = ttypes.Member(
            member_id='',
            name=self.name,
            address=self.address,
            service_address=self.address,
        )
        self._replica = replica_module.Replica(
            member,
            storage,
            self.machine,
            _MemberTransport(self._network, self.address),
            options=self._options,
            contacts=self._contacts,
            rng=random.Random(self._rng.random()),
            run_blocking=self._run_blocking,
        )
        if bootstrap:
            await self._replica.bootstrap()
        self._task = await curio.spawn(self._replica.run)

    async def stop(self, *, crash: bool = True, wipe: bool = False) -> None:
        """Stops the member.

        Args:
            crash: Whether unsynced data may be lost.
            wipe: Whether the data folder is deleted.

        Raises:
            BanyanError: If the member failed before.
        """
        if self._replica is None:
            return
        self._replica = None
        task, self._task = self._task, None
        await task.cancel()
        for handler in list(self._handlers):
            await handler.cancel()
        failed = isinstance(task.exception, Exception) and not isinstance(
            task.exception, curio.CancelledError
        )
        self._storage.close()
        if crash:
            self._truncate_unsynced()
        if wipe:
            shutil.rmtree(self._folder)
        if failed:
            raise task.exception

    async def receive_in_task(self, request: typing.Any) -> typing.Any:
        """Answers a request in a task that is cancelled when the member stops.

        Cancelling the caller does not cancel the task.

        Raises:
            rpc.TransportError: If the member stops before it answers.
            rpc.CallError: If the answer is an error.
        """
        outcome: list[typing.Any] = []
        done = curio.Event()
        task = await curio.spawn(
            self._receive_into, request, outcome, done, daemon=True
        )
        self._handlers.add(task)
        await done.wait()
        self._handlers.discard(task)
        if not outcome:
            raise rpc.TransportError('connection lost', sent=True)
        if isinstance(outcome[0], rpc.CallError):
            raise outcome[0]
        return outcome[0]

    async def _receive_into(
        self,
        request: typing.Any,
        outcome: list[typing.Any],
        done: curio.Event,
    ) -> None:
        try:
            outcome.append(await self._receive(request))
        except rpc.CallError as error:
            outcome.append(error)
        finally:
            async with curio.disable_cancellation():
                await done.set()

    async def _receive(self, request: typing.Any) -> typing.Any:
        member = self._replica
        try:
            match request:
                case ttypes.VoteRequest():
                    return await elections.receive_vote(member, request)
                case ttypes.HandOverRequest():
                    return await elections.receive_hand_over(member, request)
                case ttypes.AppendRequest():
                    return await member.receive_append(request)
                case ttypes.SnapshotRequest():
                    return await member.receive_snapshot(request)
                case ttypes.JoinRequest():
                    return await joining.receive_join(member, request)
        except errors.DiskFullError as error:
            # As `rpc_handlers.register` does.
            raise rpc.CallError(
                cluster.ErrorCode.UNAVAILABLE, str(error)
            ) from error
        except Exception as error:
            await member.fail(error)
            raise rpc.CallError(
                cluster.ErrorCode.UNAVAILABLE, str(error)
            ) from error
        raise rpc.CallError(cluster.ErrorCode.BAD_MESSAGE, 'unknown')

    def _sync(self, descriptor: int) -> None:
        if self.sync_s:
            virtual.advance_time(self.sync_s)
        state = os.fstat(descriptor)
        self._synced_sizes[state.st_ino] = state.st_size

    async def _run_blocking(
        self,
        function: collections.abc.Callable[..., typing.Any],
        *args: object,
    ) -> typing.Any:
        if self.slow_disk:
            await curio.sleep(self._rng.uniform(*SLOW_DISK_DELAY_S))
        if self.sync_wait_s and self._replica is not None:
            self._replica._sync_started_at = clock.steady_s()
            await curio.sleep(self.sync_wait_s)
        return await virtual.run_blocking(function, *args)

    def _truncate_unsynced(self) -> None:
        for path in self._folder.glob('log-*.wal'):
            state = path.stat()
            synced_bytes = self._synced_sizes.get(state.st_ino, state.st_size)
            if state.st_size > synced_bytes:
                kept_bytes = self._rng.randint(synced_bytes, state.st_size)
                os.truncate(path, kept_bytes)


def address_of(name: str) -> str:
    """Returns the address of a fake member."""
    return f'10.0.0.{name.removeprefix("m")}:1'

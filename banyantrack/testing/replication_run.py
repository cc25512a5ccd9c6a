"""Randomised runs of a replication group, checked for linearizability.

`python -m banyantrack.testing.replication_run --seeds 2000` runs one
seed after the other and stops at the first that fails.
"""

from __future__ import annotations

import argparse
import dataclasses
import enum
import pathlib
import random
import tempfile
import time
import typing

import curio

from banyantrack.core import codec
from banyantrack.core import errors as core_errors
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import state as intent_state
from banyantrack.replication import errors
from banyantrack.testing import builders
from banyantrack.testing import fake_group
from banyantrack.testing import virtual

if typing.TYPE_CHECKING:
    import collections.abc

OPERATORS = 3
OBJECTS = ('w1', 'w2')
OPERATION_TIMEOUT_S = 2.0
# Virtual time with faults, and longest wait for a state of the group.
RUN_S = 20.0
SETTLE_S = 30.0
OBJECT_PLURAL = 'worker-labels'
Kind = intent.ObjectKind


class Fault(enum.Enum):
    """Faults of a schedule; HEAL ends those of the network."""

    CRASH = 'crash'
    CRASH_LEADER = 'crash-leader'
    WIPE = 'wipe'
    WIPE_THEN_CRASH = 'wipe-then-crash'
    CUT = 'cut'
    CUT_ONE_WAY = 'cut-one-way'
    CUT_LEADER = 'cut-leader'
    HOLD = 'hold'
    SLOW_DISK = 'slow-disk'
    LOSS = 'loss'
    DUPLICATION = 'duplication'
    HAND_OVER = 'hand-over'
    HEAL = 'heal'


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault of a schedule.

    Attributes:
        fault: The fault.
        target: Number of the affected member, modulo the size of the group.
        pause_s: Seconds until the next step.
    """

    fault: Fault
    target: int
    pause_s: float


class Answer(enum.Enum):
    """Outcome of an operation as its operator observed it."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    NOT_APPLIED = 'not-applied'
    UNKNOWN = 'unknown'
    READ = 'read'


@dataclasses.dataclass(slots=True)
class Operation:
    """One operation in the history.

    Attributes:
        operation_id: Its id.
        name: Name of the object that it reads or writes.
        started_at: Monotonic time of its start, in seconds.
        if_match: Required revision of the object; 0 for none.
        ended_at: Monotonic time of its outcome; 0 without one.
        answer: Its outcome.
        revision: Revision that the write was applied at, or at which the
            object was read; 0 for none.
        current_revision: Revision of the object according to the read or
            the conflict; 0 if it did not exist.
    """

    operation_id: str
    name: str
    started_at: float
    if_match: int = 0
    ended_at: float = 0.0
    answer: Answer = Answer.UNKNOWN
    revision: int = 0
    current_revision: int = 0


class HistoryError(core_errors.BanyanError):
    """A history that violates a guarantee of the replication group."""


class _CheckedState(intent_state.IntentState):
    """Compares the commands that members apply at each log index."""

    def __init__(self, applied_commands: dict[int, bytes]) -> None:
        super().__init__()
        self._applied_commands = applied_commands

    def apply(self, index: int, payload: bytes) -> object:
        first = self._applied_commands.setdefault(index, payload)
        if first != payload:
            raise HistoryError(
                f'members applied different commands at {index}'
            )
        return super().apply(index, payload)


class Run:
    """One run of operators and faults against a group.

    Args:
        seed: Seed of operations, delays and, without steps, faults.
        folder: Folder of the members' data.
        steps: Faults; drawn from the seed if None.
        size: Number of members.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        steps: collections.abc.Sequence[Step] | None = None,
        size: int = 3,
    ) -> None:
        self._rng = random.Random(seed)
        self._network = fake_group.FakeNetwork(self._rng)
        self._applied_commands: dict[int, bytes] = {}
        self._leader_by_term: dict[int, str] = {}
        self.history: list[Operation] = []
        names = [f'm{number}' for number in range(1, size + 1)]
        contacts = [fake_group.address_of(name) for name in names]
        options = dataclasses.replace(
            fake_group.OPTIONS, auto_admit=frozenset(names)
        )
        self._members = [
            fake_group.FakeMember(
                name,
                folder / name,
                self._network,
                lambda: _CheckedState(self._applied_commands),
                contacts=contacts,
                rng=self._rng,
                options=options,
            )
            for name in names
        ]
        self._steps = steps if steps is not None else self._draw_steps()
        self._operation_count = 0
        self._operators_stopped = False

    async def run(self) -> None:
        """Runs the schedule and checks the history.

        Raises:
            HistoryError: If the history violates a guarantee.
            BanyanError: If a member failed.
        """
        await self._members[0].start(bootstrap=True)
        for member in self._members[1:]:
            await member.start()
        await self._wait_until(self._is_complete, 'the group did not form')
        leader_watch = await curio.spawn(self._watch_leaders)
        operators = [
            await curio.spawn(self._operate, random.Random(self._rng.random()))
            for _ in range(OPERATORS)
        ]
        for step in self._steps:
            await self._inject(step)
            await curio.sleep(step.pause_s)
        await self._end_faults()
        self._operators_stopped = True
        for operator in operators:
            await operator.join()
        await self._wait_until(
            self._has_converged, 'the group did not converge'
        )
        await leader_watch.cancel()
        for member in self._members:
            await member.stop()
        check(self.history, self._applied_commands)

    def _draw_steps(self) -> list[Step]:
        steps = []
        total_s = 0.0
        while total_s < RUN_S:
            pause_s = self._rng.uniform(0.1, 2.0)
            total_s += pause_s
            steps.append(
                Step(
                    self._rng.choice(list(Fault)),
                    self._rng.randrange(len(self._members)),
                    pause_s,
                )
            )
        return steps

    # Faults.

    async def _inject(self, step: Step) -> None:
        target = self._members[step.target % len(self._members)]
        match step.fault:
            case Fault.CRASH:
                await self._stop_or_start(target)
            case Fault.CRASH_LEADER:
                await self._stop_or_start(self._leader() or target)
            case Fault.WIPE:
                await self._wipe(target)
            case Fault.WIPE_THEN_CRASH:
                await self._wipe_then_crash(target)
            case Fault.CUT:
                self._cut(target, inbound=True, outbound=True)
            case Fault.CUT_ONE_WAY:
                inbound = self._rng.random() < 0.5
                self._cut(target, inbound=inbound, outbound=not inbound)
            case Fault.CUT_LEADER:
                self._cut(
                    self._leader() or target, inbound=True, outbound=True
                )
            case Fault.HOLD:
                self._network.extra_delay_s = 0.2
            case Fault.SLOW_DISK:
                target.slow_disk = not target.slow_disk
            case Fault.LOSS:
                self._network.loss = 0.2
            case Fault.DUPLICATION:
                self._network.duplication = 0.3
            case Fault.HAND_OVER:
                leader = self._leader()
                if leader is not None:
                    await leader.replica.hand_over(timeout_s=0.5)
            case Fault.HEAL:
                self._network.heal()

    async def _stop_or_start(self, member: fake_group.FakeMember) -> None:
        if member.running:
            await member.stop()
        else:
            await member.start()

    def _cut(
        self, target: fake_group.FakeMember, *, inbound: bool, outbound: bool
    ) -> None:
        for other in self._members:
            if other is target:
                continue
            if inbound:
                self._network.cuts.add((other.address, target.address))
            if outbound:
                self._network.cuts.add((target.address, other.address))

    async def _wipe(self, member: fake_group.FakeMember) -> bool:
        # The loss of a second disk before the first member is replaced could
        # lose committed entries.
        if not self._is_complete() or not member.running:
            return False
        await member.stop(wipe=True)
        await member.start()
        return True

    async def _wipe_then_crash(self, member: fake_group.FakeMember) -> None:
        self._network.heal()
        if not await self._wipe(member):
            return
        for _ in range(100):
            await curio.sleep(0.02)
            if self._is_complete():
                break
        others = [m for m in self._members if m is not member and m.running]
        if others:
            await self._rng.choice(others).stop()

    async def _end_faults(self) -> None:
        self._network.heal()
        for member in self._members:
            member.slow_disk = False
            if not member.running:
                await member.start()

    # State of the group.

    def _running(self) -> list[fake_group.FakeMember]:
        return [member for member in self._members if member.running]

    def _leader(self) -> fake_group.FakeMember | None:
        leaders = [m for m in self._running() if m.replica.is_leader]
        return max(leaders, key=lambda m: m.replica.term, default=None)

    def _is_complete(self) -> bool:
        """Whether all members run and vote under their current ids."""
        leader = self._leader()
        if leader is None or not leader.replica.ready:
            return False
        replica = leader.replica
        if replica.membership_index > replica.commit_index:
            return False
        ids = {member.replica.member.member_id for member in self._running()}
        voters = {m.member_id for m in replica.membership.voters}
        return (
            len(ids) == len(self._members)
            and voters == ids
            and not replica.membership.outgoing
        )

    def _has_converged(self) -> bool:
        if not self._is_complete():
            return False
        applied = {m.replica.applied_index for m in self._members}
        return len(applied) == 1

    async def _wait_until(
        self, condition: collections.abc.Callable[[], bool], message: str
    ) -> None:
        deadline = time.monotonic() + SETTLE_S
        while not condition():
            if time.monotonic() > deadline:
                status = [
                    m.replica.status() if m.running else None
                    for m in self._members
                ]
                raise HistoryError(f'{message}: {status}')
            await curio.sleep(0.05)

    async def _watch_leaders(self) -> None:
        while True:
            for member in self._running():
                replica = member.replica
                if replica.is_leader:
                    own_id = replica.member.member_id
                    leader_id = self._leader_by_term.setdefault(
                        replica.term, own_id
                    )
                    if leader_id != own_id:
                        raise HistoryError(
                            f'two leaders in term {replica.term}'
                        )
            await curio.sleep(0.01)

    # Operators.

    async def _operate(self, rng: random.Random) -> None:
        known_revisions = dict.fromkeys(OBJECTS, 0)
        while not self._operators_stopped:
            name = rng.choice(OBJECTS)
            if rng.random() < 0.3:
                await self._read(rng, name, known_revisions)
            else:
                await self._write(rng, name, known_revisions)
            await curio.sleep(rng.uniform(0, 0.1))

    def _new_operation(self, name: str) -> Operation:
        self._operation_count += 1
        operation = Operation(
            f'o{self._operation_count}', name, time.monotonic()
        )
        self.history.append(operation)
        return operation

    async def _read(
        self, rng: random.Random, name: str, known_revisions: dict[str, int]
    ) -> None:
        operation = self._new_operation(name)
        member = self._choose_member(rng)
        if member is None:
            return
        machine = member.machine
        try:
            await member.replica.read_barrier(timeout_s=OPERATION_TIMEOUT_S)
        except errors.ReplicationError:
            return
        operation.ended_at = time.monotonic()
        operation.answer = Answer.READ
        operation.revision = machine.revision
        stored = machine.get(Kind.WORKER_LABELS, name)
        operation.current_revision = stored.revision if stored else 0
        known_revisions[name] = operation.current_revision

    async def _write(
        self, rng: random.Random, name: str, known_revisions: dict[str, int]
    ) -> None:
        operation = self._new_operation(name)
        operation.if_match = known_revisions[name] if rng.random() < 0.6 else 0
        has_key = rng.random() < 0.6
        target = builders.labels(
            OBJECT_PLURAL, name, op=operation.operation_id
        )
        payload = builders.apply_command(
            target,
            if_match=operation.if_match,
            key=operation.operation_id if has_key else '',
            digest=operation.operation_id,
        )
        settled = False
        while not settled:
            settled = await self._propose(rng, operation, payload)
            if not settled and not has_key:
                return
            if not settled:
                await curio.sleep(rng.uniform(0.05, 0.5))
        if operation.revision:
            known_revisions[name] = operation.revision
        if has_key and rng.random() < 0.2:
            await self._resend(rng, operation, payload)

    async def _propose(
        self, rng: random.Random, operation: Operation, payload: bytes
    ) -> bool:
        """Proposes once; returns whether the outcome is certain."""
        member = self._choose_member(rng)
        if member is None:
            return False
        try:
            applied = await member.replica.propose(
                payload, timeout_s=OPERATION_TIMEOUT_S
            )
        except errors.UnknownOutcomeError:
            operation.answer = Answer.UNKNOWN
            return False
        except errors.ReplicationError:
            if operation.answer is not Answer.UNKNOWN or not (
                operation.ended_at
            ):
                operation.answer = Answer.NOT_APPLIED
            return False
        self._record_result(operation, applied.result)
        return True

    def _record_result(
        self, operation: Operation, result: intent.ApplyResult
    ) -> None:
        operation.ended_at = time.monotonic()
        if result.verdict == intent.Verdict.APPLIED:
            operation.answer = Answer.APPLIED
            operation.revision = result.revision
        else:
            operation.answer = Answer.CONFLICT
            current = result.current
            operation.current_revision = current.revision if current else 0

    async def _resend(
        self, rng: random.Random, operation: Operation, payload: bytes
    ) -> None:
        repeated = dataclasses.replace(operation)
        while not self._operators_stopped:
            if await self._propose(rng, repeated, payload):
                break
            await curio.sleep(0.1)
        else:
            return
        second = (
            repeated.answer,
            repeated.revision,
            repeated.current_revision,
        )
        first = (
            operation.answer,
            operation.revision,
            operation.current_revision,
        )
        if second != first:
            raise HistoryError(
                f'resend returned {second}, first attempt {first}'
            )

    def _choose_member(
        self, rng: random.Random
    ) -> fake_group.FakeMember | None:
        running = self._running()
        if not running:
            return None
        leader = self._leader()
        if leader is not None and rng.random() < 0.8:
            return leader
        return rng.choice(running)


def check(
    history: collections.abc.Sequence[Operation],
    applied_commands: collections.abc.Mapping[int, bytes],
) -> None:
    """Checks that a history is linearizable in the order of the log.

    Args:
        history: All operations.
        applied_commands: Applied commands by log index.

    Raises:
        HistoryError: If it is not linearizable.
    """
    applied, revisions = _replay(applied_commands)
    for operation in history:
        _check_answer(operation, applied)
    _check_order(history)
    for operation in history:
        if operation.answer is Answer.READ:
            _check_read(operation, revisions)


def _replay(
    applied_commands: collections.abc.Mapping[int, bytes],
) -> tuple[dict[str, int], dict[str, list[int]]]:
    """Applies all commands to a new state.

    Returns:
        Log indices at which operations took effect, by operation id, and
        the revisions of each object in ascending order.
    """
    machine = intent_state.IntentState()
    applied: dict[str, int] = {}
    revisions: dict[str, list[int]] = {name: [0] for name in OBJECTS}
    for index in sorted(applied_commands):
        result = machine.apply(index, applied_commands[index])
        if result.verdict != intent.Verdict.APPLIED or result.replayed:
            continue
        command = codec.decode(intent.Command, applied_commands[index])
        target = command.apply.changes[0].object
        operation_id = target.labels.labels['op']
        if operation_id in applied:
            raise HistoryError(f'{operation_id} took effect twice')
        applied[operation_id] = index
        revisions[target.name].append(index)
    return applied, revisions


def _check_answer(operation: Operation, applied: dict[str, int]) -> None:
    applied_at = applied.get(operation.operation_id)
    match operation.answer:
        case Answer.APPLIED if applied_at != operation.revision:
            raise HistoryError(f'{operation} took effect at {applied_at}')
        case Answer.CONFLICT | Answer.NOT_APPLIED if applied_at is not None:
            raise HistoryError(f'{operation} took effect at {applied_at}')


def _check_order(history: collections.abc.Sequence[Operation]) -> None:
    """Checks that operations take effect after all that ended before them."""
    ended = sorted(
        (
            operation
            for operation in history
            if operation.answer in (Answer.APPLIED, Answer.READ)
        ),
        key=lambda operation: operation.ended_at,
    )
    started = sorted(ended, key=lambda operation: operation.started_at)
    newest = 0
    position = 0
    for operation in started:
        while ended[position].ended_at < operation.started_at:
            newest = max(newest, ended[position].revision)
            position += 1
        lowest = newest + (operation.answer is Answer.APPLIED)
        if operation.revision < lowest and newest:
            raise HistoryError(f'{operation} started after revision {newest}')


def _check_read(operation: Operation, revisions: dict[str, list[int]]) -> None:
    past = [r for r in revisions[operation.name] if r <= operation.revision]
    if operation.current_revision != past[-1]:
        raise HistoryError(f'{operation} should have read {past[-1]}')


def run_seed(
    seed: int,
    *,
    steps: collections.abc.Sequence[Step] | None = None,
    size: int = 3,
) -> Run:
    """Runs one seed in virtual time.

    Args:
        seed: The seed.
        steps: Faults; drawn from the seed if None.
        size: Number of members.

    Returns:
        The finished run.

    Raises:
        HistoryError: If the history violates a guarantee.
    """
    with tempfile.TemporaryDirectory() as folder:
        run = Run(seed, pathlib.Path(folder), steps=steps, size=size)
        virtual.run(run.run)
    return run


def main() -> None:
    """Runs a range of seeds; raises the first failure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument(
        '--seeds', type=int, default=2000, help='number of seeds'
    )
    options = parser.parse_args()
    counts = dict.fromkeys(Answer, 0)
    for seed in range(options.first, options.first + options.seeds):
        try:
            run = run_seed(seed, size=5 if seed % 5 == 0 else 3)
        except BaseException:
            print(f'seed {seed} failed', flush=True)
            raise
        for operation in run.history:
            counts[operation.answer] += 1
    summary = ', '.join(f'{a.value} {count}' for a, count in counts.items())
    print(f'{options.seeds} seeds held: {summary}')


if __name__ == '__main__':
    main()

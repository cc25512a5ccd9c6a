"""Tests of the replicated state of the control group."""

from __future__ import annotations

import testtools

from banyantrack.core import codec
from banyantrack.core import findings
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import claims
from banyantrack.intent import feed
from banyantrack.intent import jobs
from banyantrack.intent import keys
from banyantrack.intent import objects
from banyantrack.intent import state
from banyantrack.testing import builders

Kind = intent.ObjectKind
Verdict = intent.Verdict


class StateTest(testtools.TestCase):
    """Base of tests of a state; applies commands at increasing indexes."""

    def setUp(self) -> None:
        super().setUp()
        self.state = state.IntentState()
        self.index = 0

    def apply(self, *targets: intent.StoredObject, **options: object):
        """Applies changes of objects as one command."""
        self.index += 1
        payload = builders.apply_command(*targets, **options)
        return self.state.apply(self.index, payload)

    def command(self, **fields: object):
        """Applies a command with the given fields."""
        self.index += 1
        command = intent.Command(now_ms=self.index, **fields)
        return self.state.apply(self.index, codec.encode(command))


class TestChanges(StateTest):
    """Commands apply as a whole, and only if the revision matches."""

    def test_invalid_command_applies_nothing(self) -> None:
        result = self.apply(
            builders.customer('a', quota_accelerators=8),
            builders.guarantee('g', customer='a', accelerators=16),
            builders.job('j', customer='nobody', selector='a in ('),
        )
        self.assertEqual(Verdict.INVALID, result.verdict)
        self.assertEqual(
            ['customers/a/quota_accelerators', 'guarantees/g',
             'jobs/j/selector', 'jobs/j/customer'],
            [finding.place for finding in result.findings],
        )  # fmt: skip
        self.assertEqual([], self.state.of_kind(Kind.CUSTOMER))

    def test_second_change_of_a_revision_conflicts(self) -> None:
        first = self.apply(builders.customer('a'))
        second = self.apply(
            builders.customer('a', weight=2), if_match=first.revision
        )
        conflicting = self.apply(
            builders.customer('a', weight=3), if_match=first.revision
        )
        self.assertEqual(Verdict.APPLIED, second.verdict)
        self.assertEqual(Verdict.CONFLICT, conflicting.verdict)
        self.assertEqual(second.revision, conflicting.current.revision)
        self.assertEqual(2, conflicting.current.customer.weight)

    def test_must_not_exist(self) -> None:
        self.apply(builders.customer('a'))
        again = self.apply(
            builders.customer('a'), if_match=state.MUST_NOT_EXIST
        )
        self.assertEqual(Verdict.CONFLICT, again.verdict)

    def test_customer_in_use_is_not_deleted(self) -> None:
        self.apply(builders.customer('a'), builders.job('j', customer='a'))
        kind = objects.KIND_BY_PLURAL['customers']
        result = self.apply(objects.tombstone(kind, 'a'))
        self.assertEqual(Verdict.INVALID, result.verdict)

    def test_routes_with_equal_prefix_are_invalid(self) -> None:
        result = self.apply(builders.route('a'), builders.route('b'))
        self.assertEqual(Verdict.INVALID, result.verdict)


class TestKeys(StateTest):
    """A retry with the same idempotency key gets the first result."""

    def test_retry(self) -> None:
        first = self.apply(builders.customer('a'), key='k', digest='d')
        again = self.apply(builders.customer('a'), key='k', digest='d')
        self.assertEqual(first.revision, again.revision)
        self.assertTrue(again.replayed)

    def test_retry_after_snapshot(self) -> None:
        first = self.apply(builders.customer('a'), key='k', digest='d')
        other = state.IntentState()
        other.restore(self.state.snapshot())
        payload = builders.apply_command(
            builders.customer('a'), key='k', digest='d'
        )
        again = other.apply(9, payload)
        self.assertEqual(first.revision, again.revision)

    def test_rejection_is_kept(self) -> None:
        options = {'key': 'k', 'digest': 'd', 'if_match': 5}
        first = self.apply(builders.customer('a'), **options)
        self.apply(builders.customer('a'))
        again = self.apply(builders.customer('a'), **options)
        self.assertEqual(Verdict.CONFLICT, first.verdict)
        self.assertEqual(Verdict.CONFLICT, again.verdict)
        self.assertIsNone(again.current)

    def test_different_digest_is_a_mismatch(self) -> None:
        self.apply(builders.customer('a'), key='k', digest='d')
        other = self.apply(builders.customer('b'), key='k', digest='e')
        self.assertEqual(Verdict.KEY_MISMATCH, other.verdict)

    def test_full_table_rejects_until_minimum_age(self) -> None:
        table = keys.KeyTable(limit=2)
        for number in range(2):
            self.assertTrue(table.evict_expired(0))
            table.put(
                intent.KeyRecord(
                    key=f'k{number}', digest='', at_ms=0, result=None
                )
            )
        self.assertFalse(table.evict_expired(keys.KEY_MIN_AGE_MS - 1))
        self.assertTrue(table.evict_expired(keys.KEY_MIN_AGE_MS))
        self.assertIsNone(table.get('k0'))
        self.assertIsNotNone(table.get('k1'))


class TestClaims(testtools.TestCase):
    """A claimed request runs at most once."""

    def setUp(self) -> None:
        super().setUp()
        self.table = claims.ClaimTable(limit=3, bytes_limit=10_000)

    def _claim(
        self,
        claimant: str,
        *,
        key: str = 'k',
        digest: str = 'd',
        now_ms: int = 0,
    ) -> int:
        command = intent.ClaimCommand(
            key=key, digest=digest, claimant=claimant, deadline_ms=1000
        )
        return self.table.claim(command, now_ms).verdict

    def _finish(self, claimant: str, claim_state: int) -> None:
        self.table.finish(
            intent.ClaimResultCommand(
                key='k',
                state=claim_state,
                status=200,
                content_type='',
                body=b'answer',
                claimant=claimant,
            )
        )

    def test_second_claim_while_in_progress(self) -> None:
        self.assertEqual(claims.Verdict.GRANTED, self._claim('a'))
        self.assertEqual(claims.Verdict.IN_PROGRESS, self._claim('b'))

    def test_same_claimant_is_granted_again(self) -> None:
        self._claim('a')
        self.assertEqual(claims.Verdict.GRANTED, self._claim('a'))

    def test_recorded_answer(self) -> None:
        self._claim('a')
        self._finish('a', claims.State.DONE)
        command = intent.ClaimCommand(
            key='k', digest='d', claimant='b', deadline_ms=1
        )
        result = self.table.claim(command, 5)
        self.assertEqual(claims.Verdict.RECORDED, result.verdict)
        self.assertEqual(b'answer', result.body)

    def test_unknown_stays_unknown(self) -> None:
        self._claim('a')
        self._finish('a', claims.State.UNKNOWN)
        self.assertEqual(claims.Verdict.UNKNOWN, self._claim('b'))

    def test_claim_after_deadline_of_claimant(self) -> None:
        self._claim('a')
        self.assertEqual(claims.Verdict.UNKNOWN, self._claim('b', now_ms=1001))

    def test_different_digest_is_a_mismatch(self) -> None:
        self._claim('a')
        self.assertEqual(claims.Verdict.MISMATCH, self._claim('b', digest='e'))

    def test_release_by_another_claimant_is_ignored(self) -> None:
        self._claim('a')
        release = intent.ClaimReleaseCommand(key='k', claimant='b')
        self.table.release(release)
        self.assertEqual(claims.Verdict.IN_PROGRESS, self._claim('b'))
        self.table.release(intent.ClaimReleaseCommand(key='k', claimant='a'))
        self.assertEqual(claims.Verdict.GRANTED, self._claim('b'))

    def test_full_table_rejects_until_minimum_age(self) -> None:
        for number in range(3):
            self._claim('a', key=f'k{number}')
        self.assertEqual(claims.Verdict.FULL, self._claim('a', key='k3'))
        later = claims.CLAIM_MIN_AGE_MS + 1
        self.assertEqual(
            claims.Verdict.GRANTED, self._claim('a', key='k3', now_ms=later)
        )


class TestJobs(StateTest):
    """Events apply to the current epoch of a job only."""

    def setUp(self) -> None:
        super().setUp()
        self.apply(builders.customer(), builders.job('j', retry_limit=0))
        revision = self.state.jobs.get('j').revision
        self.command(
            place=[
                intent.PlaceCommand(
                    job='j',
                    workers=b'\0\0',
                    guarantee='',
                    job_revision=revision,
                )
            ]
        )
        self.epoch = self.index

    def _event(
        self, event: int, *, epoch: int = 0, reason: int = 0
    ) -> intent.JobStatus:
        self.command(
            job_events=[
                intent.JobEventCommand(
                    job='j',
                    epoch=epoch or self.epoch,
                    event=event,
                    reason=reason,
                    progress_ms=0,
                    failed_worker='',
                )
            ]
        )
        return self.state.jobs.get('j')

    def test_completion(self) -> None:
        self._event(jobs.Event.STARTED)
        status = self._event(jobs.Event.COMPLETED)
        self.assertEqual(jobs.Phase.COMPLETED, status.phase)

    def test_event_of_old_epoch_is_ignored(self) -> None:
        status = self._event(jobs.Event.STARTED, epoch=self.epoch - 1)
        self.assertEqual(jobs.Allotment.HOLDING, status.allotment)

    def test_failure_beyond_retry_limit_fails_the_job(self) -> None:
        self._event(jobs.Event.STARTED)
        self._event(jobs.Event.STOPPING, reason=jobs.Reason.MEMBER_FAILED)
        status = self._event(jobs.Event.STOPPED)
        self.assertEqual(jobs.Phase.FAILED, status.phase)

    def test_crash_that_is_found_later_fails_the_waiting_job(self) -> None:
        self._event(jobs.Event.STARTED)
        self._event(jobs.Event.STOPPING, reason=jobs.Reason.LEASE_LAPSED)
        status = self._event(jobs.Event.STOPPED)
        self.assertEqual(jobs.Phase.WAITING, status.phase)
        status = self._event(jobs.Event.CRASHED)
        self.assertEqual(jobs.Phase.FAILED, status.phase)

    def test_crash_of_an_earlier_epoch_counts_when_the_gang_stops(
        self,
    ) -> None:
        self._event(jobs.Event.STARTED)
        status = self._event(jobs.Event.CRASHED, epoch=self.epoch - 1)
        self.assertEqual(
            (jobs.Phase.PLACED, 1), (status.phase, status.attempts)
        )
        self._event(jobs.Event.STOPPING, reason=jobs.Reason.RECLAIM)
        status = self._event(jobs.Event.STOPPED)
        self.assertEqual(jobs.Phase.FAILED, status.phase)

    def test_crash_counts_nothing_for_a_finished_job(self) -> None:
        self._event(jobs.Event.STARTED)
        self._event(jobs.Event.COMPLETED)
        status = self._event(jobs.Event.CRASHED)
        self.assertEqual(
            (jobs.Phase.COMPLETED, 0), (status.phase, status.attempts)
        )

    def test_reclaim_does_not_count_as_failure(self) -> None:
        self._event(jobs.Event.STARTED)
        self._event(jobs.Event.STOPPING, reason=jobs.Reason.RECLAIM)
        status = self._event(jobs.Event.STOPPED)
        self.assertEqual(jobs.Phase.WAITING, status.phase)
        self.assertEqual((0, 1), (status.attempts, status.reclaims))

    def test_cancelled_job_stops_first(self) -> None:
        kind = objects.KIND_BY_PLURAL['jobs']
        self.apply(objects.tombstone(kind, 'j'))
        status = self.state.jobs.get('j')
        self.assertEqual(jobs.Allotment.STOPPING, status.allotment)
        again = self.apply(builders.job('j'))
        self.assertEqual(Verdict.INVALID, again.verdict)
        status = self._event(jobs.Event.STOPPED)
        self.assertEqual(jobs.Phase.CANCELLED, status.phase)
        self.assertEqual(
            Verdict.APPLIED, self.apply(builders.job('j')).verdict
        )


class TestWorkers(StateTest):
    """Worker numbers are the same on all members of the group."""

    def _register(self, *names: str) -> None:
        self.command(
            workers=[
                builders.stored(
                    'workers',
                    name,
                    zone='a',
                    rack='r',
                    accelerators=8,
                    processors=8,
                    memory_mb=8,
                )
                for name in names
            ]
        )

    def _worker_numbers(self, replica: state.IntentState) -> dict[str, int]:
        return {
            stored.name: stored.worker.number
            for stored in replica.of_kind(Kind.WORKER)
        }

    def test_numbers_after_restore(self) -> None:
        self._register('a', 'b', 'c')
        kind = objects.KIND_BY_PLURAL['workers']
        self.apply(objects.tombstone(kind, 'b'))
        other = state.IntentState()
        other.restore(self.state.snapshot())
        command = intent.Command(
            now_ms=1,
            workers=[
                builders.stored(
                    'workers',
                    'd',
                    zone='a',
                    rack='r',
                    accelerators=8,
                    processors=8,
                    memory_mb=8,
                )
            ],
        )
        for replica in (self.state, other):
            replica.apply(50, codec.encode(command))
        self.assertEqual(
            self._worker_numbers(self.state), self._worker_numbers(other)
        )
        self.assertEqual(3, len(set(self._worker_numbers(other).values())))


class TestFeed(testtools.TestCase):
    """Readers resume after a revision, or get `CompactedError`."""

    def test_resume_and_compaction(self) -> None:
        changes = feed.ChangeFeed(limit=3)
        for revision in (1, 2, 2, 5):
            stored = builders.customer()
            stored.revision = revision
            changes.add(stored)
        self.assertEqual([2, 2, 5], [s.revision for s in changes.after(1)])
        error = self.assertRaises(feed.CompactedError, changes.after, 0)
        self.assertEqual(1, error.oldest_revision)

    def test_changes_of_one_revision_are_removed_together(self) -> None:
        changes = feed.ChangeFeed(limit=2)
        for revision in (1, 1, 2):
            stored = builders.customer()
            stored.revision = revision
            changes.add(stored)
        self.assertRaises(feed.CompactedError, changes.after, 0)
        self.assertEqual([2], [s.revision for s in changes.after(1)])


class TestDocuments(testtools.TestCase):
    """Objects are read from YAML and JSON; findings name their place."""

    def _read(self, text: str) -> tuple[list, list[str]]:
        found = findings.Findings()
        read = objects.DocumentReader('f', found).objects(text)
        return read, [str(finding) for finding in found.found]

    def test_json_round_trip(self) -> None:
        targets = [builders.customer('a'), builders.route(), builders.job()]
        read, found = self._read(builders.json_text(*targets))
        self.assertEqual([], found)
        self.assertEqual(targets, read)

    def test_findings_name_their_place(self) -> None:
        _, found = self._read(
            'kind: job\nname: X\ncustomer: a\nmembers: 0\n---\nkind: thing\n'
            'name: y\n'
        )
        places = [text.split(': ')[0] for text in found]
        self.assertEqual(['f:2:7', 'f:4:10', 'f:6:7'], places)

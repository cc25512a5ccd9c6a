"""Data folder of one member: identity, term and vote, snapshot and log."""

from __future__ import annotations

import fcntl
import logging
import os
import pathlib
import typing
import uuid
import zlib

from banyantrack.core import codec
from banyantrack.core import logs
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import files
from banyantrack.replication import wal

if typing.TYPE_CHECKING:
    import collections.abc

IDENTITY_KIND = b'BTID'
STATE_KIND = b'BTHS'
SNAPSHOT_KIND = b'BTSN'
IDENTITY_FILE = 'identity'
STATE_FILE = 'state'
LOCK_FILE = 'lock'
PARTIAL_FILE = 'snapshot.partial'
SNAPSHOT_GLOB = 'snapshot-*.snap'
STORAGE_ID_HEX_DIGITS = 12
_LOG = logging.getLogger(__name__)


class Snapshot(typing.NamedTuple):
    """A snapshot of the state machine.

    Attributes:
        header: Index and term of the last entry in it, and the membership.
        data: Serialized state of the state machine.
    """

    header: ttypes.SnapshotHeader
    data: bytes


def member_id(name: str, storage_id: str) -> str:
    """Returns the id of the member that owns a data folder."""
    return f'{name}.{storage_id}'


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Returns the content of a snapshot file."""
    header = codec.encode(snapshot.header)
    return (
        files.file_header(SNAPSHOT_KIND)
        + files.encode_record(header)
        + files.encode_record(snapshot.data)
    )


def decode_snapshot(path: pathlib.Path, content: bytes) -> Snapshot:
    """Decodes the content of a snapshot file.

    Args:
        path: Path of the file, for error messages.
        content: Content of the file.

    Raises:
        StorageError: If the file is of another kind or version.
        CorruptionError: If the content is invalid.
    """
    files.check_header(path, content, SNAPSHOT_KIND)
    records = list(files.read_records(path, content, may_be_torn=False))
    if len(records) != 2:
        raise errors.CorruptionError(
            f'{path}: got {len(records)} records; valid is 2'
        )
    try:
        header = codec.decode(ttypes.SnapshotHeader, records[0].payload)
    except codec.DecodeError as error:
        raise errors.CorruptionError(f'{path}: {error}') from error
    return Snapshot(header, records[1].payload)


class Storage:
    """Durable state of one member.

    Args:
        folder: The data folder; created if it does not exist.
        name: Name of the member.
        sync: Syncs a file descriptor to disk; tests replace it.

    Raises:
        StorageError: If the folder belongs to another member, is in use by
            another process or cannot be read.
        CorruptionError: If a file holds an invalid record before its end.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        *,
        sync: collections.abc.Callable[[int], None] = files.sync_file,
    ) -> None:
        self._folder = folder
        self._lock = _lock_folder(folder)
        self._identity = self._load_identity(name)
        self._state = self._load_state()
        self._snapshot_header: ttypes.SnapshotHeader | None = None
        snapshot = self.load_snapshot()
        if snapshot is not None:
            self._snapshot_header = snapshot.header
        self._log = wal.WriteAheadLog(
            folder, self.snapshot_index, self.snapshot_term, sync=sync
        )
        self._discard_stale_log()

    @property
    def folder(self) -> pathlib.Path:
        """The data folder."""
        return self._folder

    @property
    def identity(self) -> ttypes.StorageIdentity:
        """Identity of the folder."""
        return self._identity

    @property
    def member_id(self) -> str:
        """Id of the member that owns the folder."""
        return member_id(self._identity.name, self._identity.storage_id)

    @property
    def term(self) -> int:
        """Latest term that this member has seen."""
        return self._state.term

    @property
    def voted_for(self) -> str:
        """Id of the member voted for in the current term, or empty."""
        return self._state.voted_for

    @property
    def log(self) -> wal.WriteAheadLog:
        """The log."""
        return self._log

    @property
    def snapshot_header(self) -> ttypes.SnapshotHeader | None:
        """Header of the latest snapshot."""
        return self._snapshot_header

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry in the snapshot; 0 without one."""
        return self._snapshot_header.index if self._snapshot_header else 0

    @property
    def snapshot_term(self) -> int:
        """Term of the last entry in the snapshot; 0 without one."""
        return self._snapshot_header.term if self._snapshot_header else 0

    @property
    def is_empty(self) -> bool:
        """Whether the folder holds no entries and no snapshot."""
        return self.snapshot_index == 0 and self._log.last_index == 0

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is unknown."""
        if index == 0:
            return 0
        if index == self.snapshot_index:
            return self.snapshot_term
        return self._log.term_at(index)

    def save_state(self, term: int, voted_for: str) -> None:
        """Saves term and vote durably.

        Raises:
            DiskFullError: If there is no space; the old ones stay.
            StorageError: If they cannot be saved.
        """
        state = ttypes.HardState(term=term, voted_for=voted_for)
        files.write_struct(self._folder / STATE_FILE, STATE_KIND, state)
        self._state = state

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Saves a snapshot durably; may run in another thread.

        Raises:
            DiskFullError: If there is no space; earlier files stay.
            StorageError: If it cannot be saved.
        """
        path = self._snapshot_path(snapshot.header)
        files.replace_file(path, encode_snapshot(snapshot))

    def adopt_snapshot(
        self, header: ttypes.SnapshotHeader, keep_after: int
    ) -> None:
        """Makes a saved snapshot the latest and drops what it replaces.

        Args:
            header: Header of the snapshot.
            keep_after: Index after which entries stay in the log.
        """
        self._snapshot_header = header
        for path in self._folder.glob(SNAPSHOT_GLOB):
            if path != self._snapshot_path(header):
                path.unlink()
        try:
            self._log.compact(keep_after)
            self._log.rotate()
        except errors.DiskFullError as error:
            # The next snapshot compacts and rotates the log.
            logs.event(
                _LOG,
                'segment_not_rotated',
                level=logging.WARNING,
                error=error,
            )

    def snapshot_content(self) -> bytes:
        """Returns the content of the latest snapshot file, for a peer.

        Raises:
            StorageError: If there is no snapshot.
        """
        if self._snapshot_header is None:
            raise errors.StorageError('there is no snapshot')
        return self._snapshot_path(self._snapshot_header).read_bytes()

    def load_snapshot(self) -> Snapshot | None:
        """Returns the latest snapshot on disk.

        Raises:
            StorageError: If the file is of another kind or version.
            CorruptionError: If the content is invalid.
        """
        paths = sorted(self._folder.glob(SNAPSHOT_GLOB))
        if not paths:
            return None
        return decode_snapshot(paths[-1], paths[-1].read_bytes())

    def partial_size(self, header: ttypes.SnapshotHeader) -> int:
        """Returns the bytes received so far of a snapshot from a leader."""
        path = self._partial_path(header)
        return path.stat().st_size if path.exists() else 0

    def append_partial(
        self, header: ttypes.SnapshotHeader, offset: int, chunk: bytes
    ) -> int:
        """Appends a chunk of a snapshot from a leader.

        Drops the chunks of other snapshots. Ignores a chunk at another offset
        than the next one.

        Args:
            header: Header of the snapshot.
            offset: Offset of the chunk in the snapshot file, in bytes.
            chunk: Content of the chunk.

        Returns:
            Offset of the next chunk, in bytes.

        Raises:
            DiskFullError: If there is no space.
        """
        path = self._partial_path(header)
        for other in self._folder.glob(PARTIAL_FILE + '*'):
            if other != path:
                other.unlink()
        size = self.partial_size(header)
        if offset != size:
            return size
        try:
            with path.open('ab') as file:
                file.write(chunk)
        except OSError as error:
            raise files.storage_error(path, error) from error
        return size + len(chunk)

    def install_partial(self, header: ttypes.SnapshotHeader) -> Snapshot:
        """Verifies a received snapshot and makes it the latest.

        The log is dropped, unless it holds the last entry of the snapshot.

        Raises:
            CorruptionError: If the received file is invalid; it is deleted.
        """
        path = self._partial_path(header)
        content = path.read_bytes()
        try:
            snapshot = decode_snapshot(path, content)
        finally:
            path.unlink()
        self.save_snapshot(snapshot)
        log_matches = (
            self.term_at(snapshot.header.index) == snapshot.header.term
        )
        if not log_matches:
            self._log.reset(snapshot.header.index, snapshot.header.term)
        self._snapshot_header = snapshot.header
        if log_matches:
            self.adopt_snapshot(snapshot.header, snapshot.header.index)
        return snapshot

    def close(self) -> None:
        """Closes the files and unlocks the folder."""
        self._log.close()
        os.close(self._lock)

    def _discard_stale_log(self) -> None:
        """Drops a log that does not match the snapshot.

        A crash between saving a received snapshot and resetting the log
        leaves such a log.
        """
        index = self.snapshot_index
        if index and self.term_at(index) != self._log.term_at(index):
            if self._log.start_index != index:
                self._log.reset(index, self.snapshot_term)

    def _snapshot_path(self, header: ttypes.SnapshotHeader) -> pathlib.Path:
        return self._folder / f'snapshot-{header.index:020d}.snap'

    def _partial_path(self, header: ttypes.SnapshotHeader) -> pathlib.Path:
        header_checksum = zlib.crc32(codec.encode(header))
        return (
            self._folder
            / f'{PARTIAL_FILE}-{header.index}-{header_checksum:08x}'
        )

    def _load_identity(self, name: str) -> ttypes.StorageIdentity:
        path = self._folder / IDENTITY_FILE
        if path.exists():
            identity = files.read_struct(
                path, IDENTITY_KIND, ttypes.StorageIdentity
            )
            if identity.name != name:
                raise errors.StorageError(
                    f'{path}: folder belongs to member {identity.name!r};'
                    f' configured member is {name!r}'
                )
            return identity
        identity = ttypes.StorageIdentity(
            version=files.FORMAT_VERSION,
            storage_id=uuid.uuid4().hex[:STORAGE_ID_HEX_DIGITS],
            name=name,
        )
        files.write_struct(path, IDENTITY_KIND, identity)
        return identity

    def _load_state(self) -> ttypes.HardState:
        path = self._folder / STATE_FILE
        if path.exists():
            return files.read_struct(path, STATE_KIND, ttypes.HardState)
        return ttypes.HardState(term=0, voted_for='')


def _lock_folder(folder: pathlib.Path) -> int:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise errors.StorageError(f'{folder}: {error}') from error
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        raise errors.StorageError(
            f'{folder}: in use by another process'
        ) from error
    return lock

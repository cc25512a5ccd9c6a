"""Data folder of one member: identity, votes, snapshot and log."""

from __future__ import annotations

import fcntl
import os
import pathlib
import typing
import uuid
import zlib

from banyantrack.core import codec
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
ID_HEX_DIGITS = 12


class Snapshot(typing.NamedTuple):
    """A snapshot of the state machine.

    Attributes:
        header: Where in the log it stands.
        data: State of the machine.
    """

    header: ttypes.SnapshotHeader
    data: bytes


def member_id(name: str, storage_id: str) -> str:
    """Returns the id of the member that owns a data folder."""
    return f'{name}.{storage_id}'


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Returns a snapshot file's content."""
    header = codec.encode(snapshot.header)
    return (
        files.file_head(SNAPSHOT_KIND)
        + files.encode_record(header)
        + files.encode_record(snapshot.data)
    )


def decode_snapshot(path: pathlib.Path, content: bytes) -> Snapshot:
    """Returns the snapshot that a file's content holds.

    Raises:
        StorageError: If it is of another format.
        CorruptionError: If it is bad.
    """
    files.check_head(path, content, SNAPSHOT_KIND)
    records = list(files.read_records(path, content, may_be_torn=False))
    if len(records) != 2:
        raise errors.CorruptionError(f'{path}: got {len(records)} records')
    try:
        header = codec.decode(ttypes.SnapshotHeader, records[0].payload)
    except codec.DecodeError as error:
        raise errors.CorruptionError(f'{path}: {error}') from error
    return Snapshot(header, records[1].payload)


class Storage:
    """Durable state of one member.

    Args:
        folder: The data folder; made if it does not exist.
        name: Name of the member.
        sync: Syncs a descriptor; tests replace it.

    Raises:
        StorageError: If the folder belongs to another member, is in use or
            cannot be read.
        CorruptionError: If a file holds a bad record before its end.
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
        self._discard_gap()

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
        """Member that got this member's vote in the term, or empty."""
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
        """Whether nothing was ever replicated to this folder."""
        return self.snapshot_index == 0 and self._log.last_index == 0

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not known."""
        if index == 0:
            return 0
        if index == self.snapshot_index:
            return self.snapshot_term
        return self._log.term_at(index)

    def save_state(self, term: int, voted_for: str) -> None:
        """Saves term and vote durably.

        Raises:
            DiskFullError: If there is no room; the old ones stand.
            StorageError: If they cannot be saved.
        """
        state = ttypes.HardState(term=term, voted_for=voted_for)
        files.write_struct(self._folder / STATE_FILE, STATE_KIND, state)
        self._state = state

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Saves a snapshot durably; may run in another thread.

        Raises:
            StorageError: If it cannot be saved.
        """
        path = self._snapshot_path(snapshot.header)
        files.replace_file(path, encode_snapshot(snapshot))

    def adopt_snapshot(
        self, header: ttypes.SnapshotHeader, keep_after: int
    ) -> None:
        """Makes a saved snapshot the latest and drops what it replaces.

        Args:
            header: Its header.
            keep_after: Entries after this index stay in the log.
        """
        self._snapshot_header = header
        for path in self._folder.glob(SNAPSHOT_GLOB):
            if path != self._snapshot_path(header):
                path.unlink()
        self._log.compact(keep_after)
        self._log.rotate()

    def snapshot_content(self) -> bytes:
        """Returns the file of the latest snapshot, for another member.

        Raises:
            StorageError: If there is none.
        """
        if self._snapshot_header is None:
            raise errors.StorageError('there is no snapshot')
        return self._snapshot_path(self._snapshot_header).read_bytes()

    def load_snapshot(self) -> Snapshot | None:
        """Returns the latest snapshot on disk.

        Raises:
            StorageError: If it cannot be read.
            CorruptionError: If it is bad.
        """
        paths = sorted(self._folder.glob(SNAPSHOT_GLOB))
        if not paths:
            return None
        return decode_snapshot(paths[-1], paths[-1].read_bytes())

    def partial_size(self, header: ttypes.SnapshotHeader) -> int:
        """Returns how much of a snapshot from another member is here."""
        path = self._partial_path(header)
        return path.stat().st_size if path.exists() else 0

    def append_partial(
        self, header: ttypes.SnapshotHeader, offset: int, chunk: bytes
    ) -> int:
        """Adds a piece of a snapshot from another member.

        Returns:
            Offset of the next piece.

        Raises:
            DiskFullError: If there is no room.
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
        """Checks a received snapshot and replaces log and state with it.

        Raises:
            CorruptionError: If what was received is bad; it is dropped.
        """
        path = self._partial_path(header)
        content = path.read_bytes()
        try:
            snapshot = decode_snapshot(path, content)
        finally:
            path.unlink()
        self.save_snapshot(snapshot)
        keeps = self.term_at(snapshot.header.index) == snapshot.header.term
        if not keeps:
            self._log.reset(snapshot.header.index, snapshot.header.term)
        self._snapshot_header = snapshot.header
        if keeps:
            self.adopt_snapshot(snapshot.header, snapshot.header.index)
        return snapshot

    def close(self) -> None:
        """Closes the files and frees the folder."""
        self._log.close()
        os.close(self._lock)

    def _discard_gap(self) -> None:
        """Drops a log that a crash left behind an installed snapshot."""
        index = self.snapshot_index
        if index and self.term_at(index) != self._log.term_at(index):
            if self._log.start_index != index:
                self._log.reset(index, self.snapshot_term)

    def _snapshot_path(self, header: ttypes.SnapshotHeader) -> pathlib.Path:
        return self._folder / f'snapshot-{header.index:020d}.snap'

    def _partial_path(self, header: ttypes.SnapshotHeader) -> pathlib.Path:
        mark = zlib.crc32(codec.encode(header))
        return self._folder / f'{PARTIAL_FILE}-{header.index}-{mark:08x}'

    def _load_identity(self, name: str) -> ttypes.StorageIdentity:
        path = self._folder / IDENTITY_FILE
        if path.exists():
            identity = files.read_struct(
                path, IDENTITY_KIND, ttypes.StorageIdentity
            )
            if identity.name != name:
                raise errors.StorageError(
                    f'{path}: folder of member {identity.name!r};'
                    f' settings name {name!r}'
                )
            return identity
        identity = ttypes.StorageIdentity(
            version=files.FORMAT_VERSION,
            storage_id=uuid.uuid4().hex[:ID_HEX_DIGITS],
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

"""Write-ahead log in segment files, with its entries cached in memory."""

from __future__ import annotations

import collections.abc
import logging
import os
import pathlib
import typing

from banyantrack.core import codec
from banyantrack.core import errors as core_errors
from banyantrack.core import logs
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import files

if typing.TYPE_CHECKING:
    Sync = collections.abc.Callable[[int], None]

SEGMENT_KIND = b'BTWL'
SEGMENT_LIMIT_BYTES = 4 * 1024 * 1024
_SEGMENT_GLOB = 'log-*.wal'
# Suffix of a segment whose header is being written.
_UNFINISHED_SUFFIX = '.new'
_LOG = logging.getLogger(__name__)


def segment_path(folder: pathlib.Path, number: int) -> pathlib.Path:
    """Returns the path of a segment.

    Segments are numbered in the order in which they were written. The first
    index is not unique: after entries were replaced, a later segment may
    start with the index of an earlier one.
    """
    return folder / f'log-{number:020d}.wal'


def segment_number(path: pathlib.Path) -> int:
    """Returns the number of a segment."""
    return int(path.stem.removeprefix('log-'))


def segment_paths(folder: pathlib.Path) -> list[pathlib.Path]:
    """Returns the paths of all segments, in the order of their numbers."""
    return sorted(folder.glob(_SEGMENT_GLOB))


def read_segment(
    path: pathlib.Path, *, last: bool
) -> collections.abc.Iterator[tuple[list[ttypes.LogEntry], int]]:
    """Yields the batches of a segment, each with its end offset in bytes.

    Args:
        path: The segment.
        last: Whether it is the last segment, which a crash may have left
            with a torn record at its end.

    Raises:
        StorageError: If the file header has another kind or version.
        CorruptionError: If a record before the end is invalid.
    """
    data = path.read_bytes()
    if last and len(data) < files.FILE_HEADER_BYTES:
        return
    if not _header_is_blank(data):
        files.check_header(path, data, SEGMENT_KIND)
    for record in files.read_records(path, data, may_be_torn=last):
        try:
            batch = codec.decode(ttypes.LogBatch, record.payload)
        except codec.DecodeError as error:
            raise errors.CorruptionError(
                f'{path}: before byte {record.end}: {error}'
            ) from error
        yield batch.entries, record.end


def _header_is_blank(data: bytes) -> bool:
    """Whether the header of a segment was never written.

    Earlier versions could leave such a segment when the disk was full, and
    append valid records to it afterwards.
    """
    return data[: files.FILE_HEADER_BYTES] == bytes(files.FILE_HEADER_BYTES)


class _Segment:
    """A segment file.

    Args:
        path: Its path.
        first_index: Index of its first entry; 0 until that is known.

    Attributes:
        size: Bytes of the valid content.
    """

    __slots__ = ('path', 'first_index', 'size')

    def __init__(self, path: pathlib.Path, first_index: int) -> None:
        self.path = path
        self.first_index = first_index
        self.size = files.FILE_HEADER_BYTES


class WriteAheadLog:
    """The entries after the last snapshot, on disk and in memory.

    The files are append-only. A batch that starts at or before the last entry
    replaces the entries from its start on, so that truncating the log never
    rewrites synced bytes.

    Args:
        folder: The data folder.
        start_index: Index of the entry before the first one; 0 for none.
        start_term: Term of that entry.
        sync: Syncs a file descriptor to disk; tests replace it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        start_index: int,
        start_term: int,
        *,
        sync: Sync = files.sync_file,
    ) -> None:
        self._folder = folder
        self._sync = sync
        self._start_index = start_index
        self._start_term = start_term
        self._entries: list[ttypes.LogEntry] = []
        self._segments: list[_Segment] = []
        self._next_number = 1
        self._descriptor = -1
        self._load()

    @property
    def start_index(self) -> int:
        """Index of the entry before the first one in the log."""
        return self._start_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._start_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._start_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in the log."""
        if index == self._start_index:
            # A start term of 0 is unknown: its segment was dropped.
            known = self._start_term or index == 0
            return self._start_term if known else None
        if self._start_index < index <= self.last_index:
            return self._entries[index - self._start_index - 1].term
        return None

    def entry(self, index: int) -> ttypes.LogEntry:
        """Returns an entry that is in the log."""
        return self._entries[index - self._start_index - 1]

    def entries_from(
        self, index: int, limit_bytes: int
    ) -> list[ttypes.LogEntry]:
        """Returns entries from an index on; at least one if any exists.

        Args:
            index: First index.
            limit_bytes: Total payload in bytes at which the list ends; the
                last entry may exceed it.
        """
        chosen = []
        size = 0
        position = index - self._start_index - 1
        while position < len(self._entries) and size < limit_bytes:
            entry = self._entries[position]
            chosen.append(entry)
            size += len(entry.payload)
            position += 1
        return chosen

    def append(self, entries: list[ttypes.LogEntry]) -> None:
        """Writes entries as one batch, without syncing to disk.

        Raises:
            DiskFullError: If there is no space; nothing was appended.
            StorageError: If the write fails.
        """
        core_errors.check_invariant(
            entries[0].index == self.last_index + 1,
            'append of index %d after %d',
            entries[0].index,
            self.last_index,
        )
        segment = self._segment_for_append(entries[0].index)
        batch = codec.encode(ttypes.LogBatch(entries=entries))
        record = files.encode_record(batch)
        self._write(segment, record)
        segment.size += len(record)
        self._entries.extend(entries)

    def sync(self) -> None:
        """Syncs appended batches to disk; may run in another thread.

        Raises:
            StorageError: If the sync fails; fatal, since the content on disk
                is then unknown.
        """
        self._sync(self._descriptor)

    def truncate_from(self, index: int) -> None:
        """Drops the entries from an index on.

        They stay on disk until the next append replaces them.
        """
        core_errors.check_invariant(
            index > self._start_index,
            'truncation at %d of a log that starts after %d',
            index,
            self._start_index,
        )
        del self._entries[index - self._start_index - 1 :]

    def reset(self, start_index: int, start_term: int) -> None:
        """Drops all entries, which an installed snapshot replaces.

        Raises:
            StorageError: If the folder cannot be synced.
        """
        for segment in reversed(self._segments):
            segment.path.unlink()
        self._segments = []
        self._entries = []
        self._start_index = start_index
        self._start_term = start_term
        self._close_descriptor()
        files.sync_folder(self._folder)

    def compact(self, index: int) -> None:
        """Drops segments without entries after an index.

        Raises:
            DiskFullError: If the folder cannot be opened now; some segments
                may stay.
            StorageError: If the folder cannot be synced.
        """
        dropped = False
        while len(self._segments) > 1:
            start = self._segments[1].first_index - 1
            if start > index:
                break
            self._segments.pop(0).path.unlink()
            self._discard_through(start)
            dropped = True
        if dropped:
            files.sync_folder(self._folder)

    def rotate(self) -> None:
        """Opens a new segment, unless the last one is empty."""
        if self._segments and (
            self._segments[-1].size > files.FILE_HEADER_BYTES
        ):
            self._open_segment(self.last_index + 1)

    def close(self) -> None:
        """Closes the open segment."""
        self._close_descriptor()

    def _discard_through(self, index: int) -> None:
        if index <= self._start_index:
            return
        self._start_term = self.term_at(index) or 0
        del self._entries[: index - self._start_index]
        self._start_index = index

    def _write(self, segment: _Segment, data: bytes) -> None:
        try:
            _write_all(self._descriptor, data)
        except OSError as error:
            os.ftruncate(self._descriptor, segment.size)
            os.lseek(self._descriptor, segment.size, os.SEEK_SET)
            raise files.storage_error(segment.path, error) from error

    def _segment_for_append(self, first_index: int) -> _Segment:
        if not self._segments:
            self._open_segment(first_index)
        elif self._segments[-1].size >= SEGMENT_LIMIT_BYTES:
            self._open_segment(first_index)
        return self._segments[-1]

    def _open_segment(self, first_index: int) -> None:
        """Starts a segment; the last one stays open if that fails.

        Raises:
            DiskFullError: If there is no space.
            StorageError: If the file cannot be created.
        """
        if self._descriptor >= 0:
            # Synced, so that only the last segment can have a torn record.
            self._sync(self._descriptor)
        path = segment_path(self._folder, self._next_number)
        with files.synced_folder(self._folder):
            descriptor = self._create_segment_file(path)
            self._close_descriptor()
            self._descriptor = descriptor
            self._next_number += 1
            self._segments.append(_Segment(path, first_index))

    def _create_segment_file(self, path: pathlib.Path) -> int:
        """Creates a segment that holds only its header.

        The header is written under another name, so that no segment exists
        without one.

        Returns:
            The open descriptor, positioned after the header.
        """
        unfinished = path.with_name(path.name + _UNFINISHED_SUFFIX)
        descriptor = -1
        try:
            descriptor = os.open(
                unfinished, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600
            )
            _write_all(descriptor, files.file_header(SEGMENT_KIND))
            self._sync(descriptor)
            unfinished.rename(path)
        except OSError as error:
            if descriptor >= 0:
                os.close(descriptor)
                unfinished.unlink(missing_ok=True)
            raise files.storage_error(path, error) from error
        return descriptor

    def _reopen(self) -> None:
        self._close_descriptor()
        if not self._segments:
            return
        segment = self._segments[-1]
        self._descriptor = os.open(segment.path, os.O_RDWR)
        os.ftruncate(self._descriptor, segment.size)
        os.lseek(self._descriptor, segment.size, os.SEEK_SET)

    def _close_descriptor(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _load(self) -> None:
        for path in self._folder.glob(_SEGMENT_GLOB + _UNFINISHED_SUFFIX):
            path.unlink()
        paths = segment_paths(self._folder)
        for position, path in enumerate(paths):
            self._load_segment(path, last=position == len(paths) - 1)
        if self._segments:
            self._reopen()
            self.sync()

    def _load_segment(self, path: pathlib.Path, *, last: bool) -> None:
        self._next_number = segment_number(path) + 1
        segment = _Segment(path, 0)
        for entries, end in read_segment(path, last=last):
            first_index = entries[0].index
            if not self._entries and first_index <= self._start_index:
                # Entries before the snapshot are kept for lagging followers.
                self._start_index = first_index - 1
                self._start_term = 0
            segment.first_index = segment.first_index or first_index
            self._load_batch(path, entries, end)
            segment.size = end
        _restore_header(path)
        segment.first_index = segment.first_index or self.last_index + 1
        self._segments.append(segment)

    def _load_batch(
        self, path: pathlib.Path, entries: list[ttypes.LogEntry], end: int
    ) -> None:
        position = entries[0].index - self._start_index - 1
        if position > len(self._entries):
            raise errors.CorruptionError(
                f'{path}: before byte {end}: got index {entries[0].index};'
                f' valid is up to {self.last_index + 1}'
            )
        if position < 0:
            entries = entries[-position:]
            position = 0
        del self._entries[position:]
        self._entries.extend(entries)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _restore_header(path: pathlib.Path) -> None:
    """Writes the header of a segment that lacks it, and syncs it."""
    with path.open('r+b') as file:
        found = file.read(files.FILE_HEADER_BYTES)
        if len(found) == files.FILE_HEADER_BYTES and any(found):
            return
        file.seek(0)
        file.write(files.file_header(SEGMENT_KIND))
        file.flush()
        files.sync_file(file.fileno())
    logs.event(
        _LOG, 'segment_header_restored', level=logging.WARNING, path=path
    )

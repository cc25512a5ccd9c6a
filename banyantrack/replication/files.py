"""Durable files: checksummed records, atomic replacement, folder sync.

A file starts with a header of its kind and format version. Records follow,
each with a magic number, its length and a CRC-32 of its payload.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import errno
import os
import pathlib
import struct
import typing
import zlib

from banyantrack.core import codec
from banyantrack.replication import errors

FORMAT_VERSION = 1
RECORD_LIMIT_BYTES = 64 * 1024 * 1024
# No space, or no descriptor to open a file; a later attempt may succeed.
_PASSING_ERRNOS = frozenset(
    (errno.ENOSPC, errno.EDQUOT, errno.EMFILE, errno.ENFILE)
)
_RECORD_MAGIC = b'\xb7\x1e'
_RECORD_HEADER = struct.Struct('>2sII')
_FILE_HEADER = struct.Struct('>4sI')

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a file.

    Attributes:
        payload: Its content without the record header.
        end: Offset of the first byte after it, in bytes.
    """

    payload: bytes
    end: int


def file_header(kind: bytes) -> bytes:
    """Returns the header of a file.

    Args:
        kind: Kind of file, four bytes.
    """
    return _FILE_HEADER.pack(kind, FORMAT_VERSION)


FILE_HEADER_BYTES = _FILE_HEADER.size


def check_header(path: pathlib.Path, data: bytes, kind: bytes) -> None:
    """Checks the header of a file.

    Raises:
        StorageError: If the file is of another kind or version.
        CorruptionError: If the file is shorter than its header.
    """
    if len(data) < FILE_HEADER_BYTES:
        raise errors.CorruptionError(
            f'{path}: byte 0: file header is incomplete'
        )
    found, version = _FILE_HEADER.unpack_from(data)
    if found != kind:
        raise errors.StorageError(
            f'{path}: got file kind {found!r}; valid is {kind!r}'
        )
    if version != FORMAT_VERSION:
        raise errors.StorageError(
            f'{path}: got format version {version}; valid is {FORMAT_VERSION}'
        )


def encode_record(payload: bytes) -> bytes:
    """Returns a record: the payload after its record header."""
    checksum = zlib.crc32(payload)
    return _RECORD_HEADER.pack(_RECORD_MAGIC, len(payload), checksum) + payload


def read_records(
    path: pathlib.Path, data: bytes, *, may_be_torn: bool
) -> collections.abc.Iterator[Record]:
    """Yields the records after the file header.

    A record is written and synced before the next one is written, so a crash
    can only tear the last one.

    Args:
        path: Path of the file, for error messages.
        data: Content of the file.
        may_be_torn: Whether an invalid last record is ignored.

    Raises:
        CorruptionError: If any other record is invalid.
    """
    position = FILE_HEADER_BYTES
    while position < len(data):
        record = _record_at(data, position)
        if record is None:
            if may_be_torn and not _any_record_after(data, position):
                return
            raise errors.CorruptionError(
                f'{path}: byte {position}: bad record before the end'
            )
        yield record
        position = record.end


def _record_at(data: bytes, position: int) -> Record | None:
    start = position + _RECORD_HEADER.size
    if start > len(data):
        return None
    magic, length, checksum = _RECORD_HEADER.unpack_from(data, position)
    end = start + length
    if (
        magic != _RECORD_MAGIC
        or length > RECORD_LIMIT_BYTES
        or end > len(data)
    ):
        return None
    payload = data[start:end]
    if zlib.crc32(payload) != checksum:
        return None
    return Record(payload, end)


def _any_record_after(data: bytes, position: int) -> bool:
    position = data.find(_RECORD_MAGIC, position + 1)
    while position >= 0:
        if _record_at(data, position) is not None:
            return True
        position = data.find(_RECORD_MAGIC, position + 1)
    return False


def sync_file(descriptor: int) -> None:
    """Syncs the content of a file to disk.

    Raises:
        StorageError: If the sync fails; the content on disk is then unknown.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise errors.StorageError(f'sync failed: {error}') from error


@contextlib.contextmanager
def synced_folder(
    folder: pathlib.Path,
) -> collections.abc.Iterator[None]:
    """Syncs the directory entries of a folder to disk after a change.

    The folder is opened before the change, which is not made if no descriptor
    is left.

    Raises:
        DiskFullError: If the folder cannot be opened now; nothing is changed.
        StorageError: If the sync fails.
    """
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    except OSError as error:
        raise storage_error(folder, error) from error
    try:
        yield
        try:
            os.fsync(descriptor)
        except OSError as error:
            raise errors.StorageError(
                f'{folder}: sync failed: {error}'
            ) from error
    finally:
        os.close(descriptor)


def sync_folder(folder: pathlib.Path) -> None:
    """Syncs the directory entries of a folder to disk.

    Raises:
        DiskFullError: If the folder cannot be opened now.
        StorageError: If the sync fails.
    """
    with synced_folder(folder):
        pass


def replace_file(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file atomically: a crash leaves the old or the new one.

    Raises:
        DiskFullError: If there is no space; the old file stays.
        StorageError: If it cannot be written.
    """
    temporary = path.with_name(path.name + '.new')
    with synced_folder(path.parent):
        try:
            with temporary.open('wb') as file:
                file.write(content)
                file.flush()
                sync_file(file.fileno())
            temporary.replace(path)
        except OSError as error:
            raise storage_error(path, error) from error


def storage_error(path: pathlib.Path, error: OSError) -> errors.StorageError:
    """Returns the error of this package for a failed write.

    A file that cannot be opened for lack of descriptors leaves the existing
    data intact, as one without space does.
    """
    if error.errno in _PASSING_ERRNOS:
        return errors.DiskFullError(f'{path}: {error}')
    return errors.StorageError(f'{path}: {error}')


def write_struct(path: pathlib.Path, kind: bytes, struct: object) -> None:
    """Replaces a file that holds one struct.

    Raises:
        DiskFullError: If there is no space; the old file stays.
        StorageError: If the file cannot be written.
    """
    record = encode_record(codec.encode(struct))
    replace_file(path, file_header(kind) + record)


def read_struct(path: pathlib.Path, kind: bytes, struct_type: type[T]) -> T:
    """Reads a file that holds one struct.

    Raises:
        StorageError: If the file cannot be read.
        CorruptionError: If its content is invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.StorageError(f'{path}: {error}') from error
    check_header(path, data, kind)
    records = list(read_records(path, data, may_be_torn=False))
    if len(records) != 1:
        raise errors.CorruptionError(
            f'{path}: got {len(records)} records; valid is 1'
        )
    try:
        return codec.decode(struct_type, records[0].payload)
    except codec.DecodeError as error:
        raise errors.CorruptionError(f'{path}: {error}') from error

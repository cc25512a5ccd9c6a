"""Durable files: records with checksums, atomic replacement, folder sync."""

from __future__ import annotations

import collections.abc
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
_MAGIC = b'\xb7\x1e'
_RECORD = struct.Struct('>2sII')
_FILE_HEAD = struct.Struct('>4sI')

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record and where it ends in its file."""

    payload: bytes
    end: int


def file_head(kind: bytes) -> bytes:
    """Returns the first bytes of a file.

    Args:
        kind: Four bytes that name the kind of file.
    """
    return _FILE_HEAD.pack(kind, FORMAT_VERSION)


FILE_HEAD_BYTES = _FILE_HEAD.size


def check_head(path: pathlib.Path, data: bytes, kind: bytes) -> None:
    """Checks the first bytes of a file.

    Raises:
        StorageError: If the file is of another kind or version.
    """
    if len(data) < FILE_HEAD_BYTES:
        raise errors.CorruptionError(f'{path}: byte 0: no file head')
    found, version = _FILE_HEAD.unpack_from(data)
    if found != kind:
        raise errors.StorageError(
            f'{path}: got file kind {found!r}; valid is {kind!r}'
        )
    if version != FORMAT_VERSION:
        raise errors.StorageError(
            f'{path}: got format version {version}; valid is {FORMAT_VERSION}'
        )


def encode_record(payload: bytes) -> bytes:
    """Returns a payload with length and checksum before it."""
    checksum = zlib.crc32(payload)
    return _RECORD.pack(_MAGIC, len(payload), checksum) + payload


def read_records(
    path: pathlib.Path, data: bytes, *, may_be_torn: bool
) -> collections.abc.Iterator[Record]:
    """Reads the records after the file head.

    A record is written and synced before the next one is written, so only
    the last one can be torn by a crash.

    Args:
        path: The file, for messages.
        data: Its content.
        may_be_torn: Whether a bad record at the end is ignored.

    Raises:
        CorruptionError: If a bad record is not at the end.
    """
    position = FILE_HEAD_BYTES
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
    start = position + _RECORD.size
    if start > len(data):
        return None
    magic, length, checksum = _RECORD.unpack_from(data, position)
    end = start + length
    if magic != _MAGIC or length > RECORD_LIMIT_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if zlib.crc32(payload) != checksum:
        return None
    return Record(payload, end)


def _any_record_after(data: bytes, position: int) -> bool:
    position = data.find(_MAGIC, position + 1)
    while position >= 0:
        if _record_at(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def sync_file(descriptor: int) -> None:
    """Syncs a file.

    Raises:
        StorageError: If it fails; what is on disk is then unknown.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise errors.StorageError(f'sync failed: {error}') from error


def sync_folder(folder: pathlib.Path) -> None:
    """Syncs the entries of a folder.

    Raises:
        StorageError: If it fails.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise errors.StorageError(f'{folder}: sync failed: {error}') from error
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file so that a crash leaves the old or the new one.

    Raises:
        DiskFullError: If there is no room; the old one stands.
        StorageError: If it cannot be written.
    """
    fresh = path.with_name(path.name + '.new')
    try:
        with fresh.open('wb') as file:
            file.write(content)
            file.flush()
            sync_file(file.fileno())
        fresh.replace(path)
    except OSError as error:
        raise storage_error(path, error) from error
    sync_folder(path.parent)


def storage_error(path: pathlib.Path, error: OSError) -> errors.StorageError:
    """Returns the error that a failed write to a file stands for."""
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskFullError(f'{path}: {error}')
    return errors.StorageError(f'{path}: {error}')


def write_struct(path: pathlib.Path, kind: bytes, struct: object) -> None:
    """Replaces a file that holds one struct.

    Raises:
        StorageError: If it cannot be written.
    """
    record = encode_record(codec.encode(struct))
    replace_file(path, file_head(kind) + record)


def read_struct(path: pathlib.Path, kind: bytes, struct_type: type[T]) -> T:
    """Reads a file that holds one struct.

    Raises:
        StorageError: If it cannot be read.
        CorruptionError: If its content is bad.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.StorageError(f'{path}: {error}') from error
    check_head(path, data, kind)
    records = list(read_records(path, data, may_be_torn=False))
    if len(records) != 1:
        raise errors.CorruptionError(f'{path}: got {len(records)} records')
    try:
        return codec.decode(struct_type, records[0].payload)
    except codec.DecodeError as error:
        raise errors.CorruptionError(f'{path}: {error}') from error

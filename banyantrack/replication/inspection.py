"""Offline inspection, backup and restore of data folders."""

from __future__ import annotations

import dataclasses
import pathlib

from banyantrack.core import findings as findings_module
from banyantrack.generated.replication import ttypes
from banyantrack.replication import errors
from banyantrack.replication import files
from banyantrack.replication import quorum
from banyantrack.replication import storage as storage_module
from banyantrack.replication import wal


@dataclasses.dataclass(frozen=True, slots=True)
class Inspection:
    """Content of a data folder.

    Attributes:
        lines: Readable description, one line for each file.
        findings: Faults in it.
    """

    lines: list[str]
    findings: list[findings_module.Finding]


def inspect(folder: pathlib.Path) -> Inspection:
    """Reads a data folder without changing it.

    Args:
        folder: The folder; no process should use it.
    """
    lines: list[str] = []
    findings = findings_module.Findings()
    if not folder.is_dir():
        findings.add(str(folder), 'folder does not exist')
        return Inspection(lines, findings.found)
    _inspect_struct(
        folder / storage_module.IDENTITY_FILE,
        storage_module.IDENTITY_KIND,
        ttypes.StorageIdentity,
        lines,
        findings,
    )
    _inspect_struct(
        folder / storage_module.STATE_FILE,
        storage_module.STATE_KIND,
        ttypes.HardState,
        lines,
        findings,
    )
    for path in sorted(folder.glob(storage_module.SNAPSHOT_GLOB)):
        _inspect_snapshot(path, lines, findings)
    paths = wal.segment_paths(folder)
    for position, path in enumerate(paths):
        _inspect_segment(path, position == len(paths) - 1, lines, findings)
    return Inspection(lines, findings.found)


def _inspect_struct(
    path: pathlib.Path,
    kind: bytes,
    struct_type: type,
    lines: list[str],
    findings: findings_module.Findings,
) -> None:
    try:
        struct = files.read_struct(path, kind, struct_type)
    except errors.StorageError as error:
        findings.add(str(path), str(error))
        return
    values = ' '.join(
        f'{name}={getattr(struct, name)}' for name in struct_type.__slots__
    )
    lines.append(f'{path.name}: {values}')


def _inspect_snapshot(
    path: pathlib.Path, lines: list[str], findings: findings_module.Findings
) -> None:
    try:
        snapshot = storage_module.decode_snapshot(path, path.read_bytes())
    except errors.StorageError as error:
        findings.add(str(path), str(error))
        return
    header = snapshot.header
    names = ', '.join(m.name for m in quorum.all_members(header.membership))
    lines.append(
        f'{path.name}: index={header.index} term={header.term}'
        f' bytes={header.size} members={names}'
    )


def _inspect_segment(
    path: pathlib.Path,
    last: bool,
    lines: list[str],
    findings: findings_module.Findings,
) -> None:
    entries = 0
    batches = 0
    end = files.FILE_HEADER_BYTES
    first_index = last_index = 0
    try:
        for batch, end in wal.read_segment(path, last=last):
            batches += 1
            entries += len(batch)
            first_index = first_index or batch[0].index
            last_index = batch[-1].index
    except errors.StorageError as error:
        findings.add(str(path), str(error))
    torn = max(path.stat().st_size - end, 0)
    lines.append(
        f'{path.name}: entries={entries} batches={batches}'
        f' first={first_index} last={last_index} torn_bytes={torn}'
    )


def backup(folder: pathlib.Path, target: pathlib.Path) -> int:
    """Writes the state after all entries in a folder to a snapshot file.

    Args:
        folder: A data folder that no process uses.
        target: The file to write.

    Returns:
        Index of the last entry.

    Raises:
        StorageError: If the folder cannot be read or is in use.
    """
    from banyantrack.intent import state as state_module

    identity = files.read_struct(
        folder / storage_module.IDENTITY_FILE,
        storage_module.IDENTITY_KIND,
        ttypes.StorageIdentity,
    )
    storage = storage_module.Storage(folder, identity.name)
    machine = state_module.IntentState()
    membership = quorum.empty_membership()
    snapshot = storage.load_snapshot()
    index = 0
    if snapshot is not None:
        machine.restore(snapshot.data)
        index = snapshot.header.index
        membership = snapshot.header.membership
    while index < storage.log.last_index:
        index += 1
        entry = storage.log.entry(index)
        if entry.kind == ttypes.EntryKind.COMMAND:
            machine.apply(entry.index, entry.payload)
    data = machine.snapshot()
    header = ttypes.SnapshotHeader(
        index=index,
        term=storage.term_at(index) or 0,
        membership=membership,
        size=len(data),
        version=files.FORMAT_VERSION,
    )
    files.replace_file(
        target.absolute(),
        storage_module.encode_snapshot(storage_module.Snapshot(header, data)),
    )
    storage.close()
    return index


def restore(
    source: pathlib.Path,
    folder: pathlib.Path,
    *,
    name: str,
    address: str,
    service_address: str,
) -> int:
    """Creates the folder of a new group with one voter from a backup.

    Args:
        source: Snapshot file written by `backup`.
        folder: An empty or new data folder.
        name: Name of the member.
        address: Its RPC address.
        service_address: Its service address.

    Returns:
        Index of the last entry.

    Raises:
        StorageError: If the backup cannot be read or the folder is not
            empty.
    """
    snapshot = storage_module.decode_snapshot(source, source.read_bytes())
    storage = storage_module.Storage(folder, name)
    if not storage.is_empty:
        storage.close()
        raise errors.StorageError(f'{folder}: not empty')
    membership = quorum.empty_membership()
    membership.voters = [
        ttypes.Member(
            member_id=storage.member_id,
            name=name,
            address=address,
            service_address=service_address,
        )
    ]
    header = snapshot.header
    header.membership = membership
    # Raises the term above that of the backup, so that members of the old
    # group do not accept it as their own.
    header.term += 1
    storage.save_state(header.term, '')
    storage.save_snapshot(storage_module.Snapshot(header, snapshot.data))
    storage.close()
    return header.index

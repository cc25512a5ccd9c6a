"""Loads and checks the settings files of the daemons."""

from __future__ import annotations

import ipaddress
import pathlib
import typing

from banyantrack.core import documents
from banyantrack.core import findings

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes


def load_control(path: pathlib.Path) -> ttypes.ControlSettings:
    """Reads the settings of banyan-control.

    Args:
        path: The YAML file.

    Raises:
        FindingsError: With all findings, if there are any.
    """
    found = findings.Findings()
    settings = _load(path, 'ControlSettings', found)
    if settings is not None and not found.found:
        _check_control(str(path), settings, found)
    found.raise_any(f'settings in {path}')
    return settings


def load_entry(path: pathlib.Path) -> ttypes.EntrySettings:
    """Reads the settings of banyan-entry.

    Args:
        path: The YAML file.

    Raises:
        FindingsError: With all findings, if there are any.
    """
    found = findings.Findings()
    settings = _load(path, 'EntrySettings', found)
    if settings is not None and not found.found:
        _check_entry(str(path), settings, found)
    found.raise_any(f'settings in {path}')
    return settings


def is_loopback(address: str) -> bool:
    """Whether an `IP:PORT` address is a loopback address."""
    host = address.rpartition(':')[0].strip('[]')
    return ipaddress.ip_address(host).is_loopback


def _load(
    path: pathlib.Path, struct: str, found: findings.Findings
) -> typing.Any:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        found.add(str(path), f'cannot be read: {error}')
        return None
    reader = documents.Reader(str(path), documents.model('settings'), found)
    nodes = reader.compose(text)
    if len(nodes) != 1:
        if not found.found:
            found.add(
                str(path), f'got {len(nodes)} documents; valid is one map'
            )
        return None
    return reader.struct(nodes[0], struct)


def _check_control(
    source: str, settings: ttypes.ControlSettings, found: findings.Findings
) -> None:
    if not settings.members and settings.platform is None:
        found.add(source, 'got no members; valid is at least one')
    names = [member.name for member in settings.members]
    addresses = [member.address for member in settings.members]
    _check_unique(source, 'member name', names, found)
    _check_unique(source, 'member address', addresses, found)
    if settings.rpc_address == settings.http_address:
        found.add(source, 'rpc_address and http_address must differ')
    replication = settings.replication
    if replication.heartbeat_ms * 2 > replication.election_timeout_ms:
        found.add(
            source,
            f'got heartbeat_ms {replication.heartbeat_ms}; valid is at most'
            f' half of election_timeout_ms {replication.election_timeout_ms}',
        )
    placement = settings.placement
    if placement.report_wait_ms * 5 > placement.lease_ms * 2:
        # A lease runs from a report whose answer may be held back for
        # report_wait_ms, and must outlast the same wait of the next report.
        found.add(
            source,
            f'got report_wait_ms {placement.report_wait_ms}; valid is at'
            f' most two fifths of lease_ms {placement.lease_ms}',
        )
    _check_tokens(source, settings, found)


def _check_entry(
    source: str, settings: ttypes.EntrySettings, found: findings.Findings
) -> None:
    if settings.rpc_address == settings.http_address:
        found.add(source, 'rpc_address and http_address must differ')
    if not settings.control and settings.platform is None:
        found.add(source, 'got no control address; valid is at least one')
    _check_unique(source, 'control address', settings.control, found)
    _check_tokens(source, settings, found)


def _check_tokens(
    source: str, settings: typing.Any, found: findings.Findings
) -> None:
    _check_unique(
        source, 'token name', [t.name for t in settings.tokens], found
    )
    if settings.tokens:
        return
    for address in (settings.http_address, settings.rpc_address):
        if not is_loopback(address):
            found.add(
                source,
                f'got {address} off loopback without tokens; valid is a'
                ' loopback address, or tokens',
            )


def _check_unique(
    source: str, subject: str, values: list[str], found: findings.Findings
) -> None:
    for value in sorted({v for v in values if values.count(v) > 1}):
        found.add(source, f'{subject} {value!r} appears twice')

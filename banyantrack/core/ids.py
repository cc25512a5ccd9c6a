"""Identifiers as distinct types."""

from __future__ import annotations

import typing

MemberId = typing.NewType('MemberId', str)
EntryId = typing.NewType('EntryId', str)
BackendId = typing.NewType('BackendId', str)
WorkerId = typing.NewType('WorkerId', str)
CustomerName = typing.NewType('CustomerName', str)
GuaranteeName = typing.NewType('GuaranteeName', str)
JobName = typing.NewType('JobName', str)
RequestId = typing.NewType('RequestId', str)
Epoch = typing.NewType('Epoch', int)
Revision = typing.NewType('Revision', int)
Term = typing.NewType('Term', int)
LogIndex = typing.NewType('LogIndex', int)

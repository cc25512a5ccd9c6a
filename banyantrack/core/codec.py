"""Encoding of schema structs with the accelerated compact protocol."""

from __future__ import annotations

import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from banyantrack.core import errors

# The pure Python protocol takes ten times as long; this import fails if the
# extension is missing.
from thrift.protocol import fastbinary  # noqa: F401  isort: skip

T = typing.TypeVar('T')

_DECODE_ERRORS = (
    EOFError,
    TTransport.TTransportException,
    ValueError,
    TypeError,
    AttributeError,
    MemoryError,
    OverflowError,
)


class DecodeError(errors.BanyanError):
    """Data does not decode to a struct of the expected type."""


def encode(struct: object) -> bytes:
    """Encodes a struct of the schema.

    Args:
        struct: Instance of a generated class.
    """
    buffer = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(struct_type: type[T], data: bytes) -> T:
    """Decodes a struct of the schema.

    Args:
        struct_type: A generated class.
        data: The encoded struct.

    Raises:
        DecodeError: If the data does not encode such a struct.
    """
    struct = struct_type()
    buffer = TTransport.TMemoryBuffer(data)
    try:
        struct.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    except _DECODE_ERRORS as error:
        raise DecodeError(
            f'cannot decode {len(data)} bytes as {struct_type.__name__}:'
            f' {error}'
        ) from error
    return struct

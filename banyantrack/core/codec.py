"""Encoding of schema structs with the accelerated compact protocol."""

from __future__ import annotations

import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from banyantrack.core import errors

# The pure Python protocol takes ten times as long, so a missing extension
# must not go unnoticed.
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
    """Bytes are not an encoded struct of the expected type."""


def encode(struct: object) -> bytes:
    """Returns a struct of the schema as bytes.

    Args:
        struct: Instance of a generated class.
    """
    buffer = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(struct_type: type[T], data: bytes) -> T:
    """Returns the struct that bytes encode.

    Args:
        struct_type: A generated class.
        data: Its encoding.

    Raises:
        DecodeError: If the bytes do not encode such a struct.
    """
    struct = struct_type()
    buffer = TTransport.TMemoryBuffer(data)
    try:
        struct.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    except _DECODE_ERRORS as error:
        raise DecodeError(
            f'got {len(data)} bytes that are no {struct_type.__name__}:'
            f' {error}'
        ) from error
    return struct

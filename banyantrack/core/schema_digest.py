"""Digest of the schema, stored with the code generated from it."""

from __future__ import annotations

import hashlib
import typing

if typing.TYPE_CHECKING:
    import pathlib


def digest_of_schema(folder: pathlib.Path) -> str:
    """Returns the SHA-256 digest of all schema files, in order of name.

    Args:
        folder: The folder of the `.thrift` files.

    Returns:
        The digest in hexadecimal.
    """
    digest = hashlib.sha256()
    for path in sorted(folder.glob('*.thrift')):
        digest.update(path.name.encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()

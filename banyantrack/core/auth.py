"""Authentication by bearer tokens and authorization by role."""

from __future__ import annotations

import enum
import hashlib
import hmac
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.settings import ttypes as settings

_SCHEME = 'bearer '
_READ_METHODS = frozenset(('GET', 'HEAD'))
_LABEL_PREFIX = '/v1/labels/'


class TokenRole(enum.Enum):
    """Permissions of a token."""

    OPERATOR = 'operator'
    MONITORING = 'monitoring'
    READ_ONLY = 'read-only'


class Authenticator:
    """Checks the token of a request before it is processed.

    Args:
        tokens: Valid tokens. If empty, every caller is an operator, which
            the settings permit on loopback addresses only.
    """

    def __init__(
        self, tokens: collections.abc.Sequence[settings.Token]
    ) -> None:
        self._tokens = tuple(tokens)

    def role(self, authorization: str) -> TokenRole | None:
        """Returns the role of a caller, or None if it has no valid token.

        Args:
            authorization: Value of the `Authorization` header, or ''.
        """
        token = self._find(authorization)
        if not self._tokens:
            return TokenRole.OPERATOR
        return None if token is None else TokenRole(token.role)

    def name(self, authorization: str) -> str:
        """Returns the name of a caller's token; empty if it has none.

        Args:
            authorization: Value of the `Authorization` header, or ''.
        """
        token = self._find(authorization)
        return '' if token is None else token.name

    def _find(self, authorization: str) -> settings.Token | None:
        """Returns the token in an `Authorization` header, or None."""
        text = ''
        if authorization.lower().startswith(_SCHEME):
            text = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(text.encode()).hexdigest()
        found = None
        for token in self._tokens:
            # Compares all tokens, so that the duration reveals no match.
            if hmac.compare_digest(token.sha256, digest):
                found = token
        return found

    def allows(self, authorization: str, method: str, path: str) -> bool:
        """Whether a caller may make a request.

        A wrong token, a missing one and one whose role lacks the permission
        are rejected alike.

        Args:
            authorization: Value of the `Authorization` header, or ''.
            method: HTTP method in upper case.
            path: Path of the request without its query.
        """
        role = self.role(authorization)
        if role is None:
            return False
        if role is TokenRole.OPERATOR or method in _READ_METHODS:
            return True
        return role is TokenRole.MONITORING and path.startswith(_LABEL_PREFIX)

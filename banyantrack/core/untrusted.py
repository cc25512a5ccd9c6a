"""Checks of numbers and texts that another process has written."""

from __future__ import annotations

# Digits of the largest signed 64-bit integer.
MAX_DIGITS = 19


def parse_decimal(text: str, *, high: int = 2**63 - 1) -> int | None:
    """Returns a number that is written with decimal digits only.

    `int` accepts more: signs, underscores, spaces and digits of any script;
    and it raises `ValueError` for thousands of digits.

    Args:
        text: The text.
        high: Largest valid number.

    Returns:
        The number; None if the text is no such number.
    """
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= high else None


def is_encodable(text: str) -> bool:
    """Whether a text can be encoded as UTF-8, in which it is stored.

    JSON can hold one half of a character that has two.

    Args:
        text: The text.
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True

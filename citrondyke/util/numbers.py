"""Numbers in untrusted text."""

from __future__ import annotations

import re

from citrondyke.errors.unreadable_bytes import UnreadableBytesError

__all__ = ('COUNT_LIMIT', 'parse_count', 'parse_decimal', 'read_count', 'shortened')

#: Largest count: one that follows it still fits into 64 bits.
COUNT_LIMIT = 2**63 - 1
#: Longest text of a number, leading zeros included. ``int`` raises an error for a text of more than
#: 4,300 digits, and a shorter one may still be too large for a ``float`` or a field of a message.
NUMBER_LIMIT_CHARACTERS = 40
DECIMAL_PATTERN = re.compile(r'[+-]?(\d+\.?\d*|\.\d+)(e[+-]?\d+)?', re.ASCII | re.IGNORECASE)
#: Characters of an unreadable text that an error or a log line quotes.
QUOTED_CHARACTERS = 40


def parse_count(text: str | bytes, limit: int = COUNT_LIMIT) -> int | None:
    """Parse ASCII digits as a whole number from 0 to ``limit``; ``None`` for any other text."""
    if len(text) > NUMBER_LIMIT_CHARACTERS or not text.isdigit() or not text.isascii():
        return None
    number = int(text)
    return number if number <= limit else None


def parse_decimal(text: str | bytes, lowest: float, highest: float) -> float | None:
    """Parse a finite decimal number within a range; ``None`` for any other text."""
    if len(text) > NUMBER_LIMIT_CHARACTERS or not text.isascii():
        return None
    plain = text if isinstance(text, str) else text.decode('ascii')
    if not DECIMAL_PATTERN.fullmatch(plain.strip(' \t')):
        return None
    number = float(plain)
    return number if lowest <= number <= highest else None


def read_count(text: str | bytes, what: str, limit: int = COUNT_LIMIT) -> int:
    """Parse a whole number from 0 to ``limit``.

    :param what: names the number in the error.
    :raises UnreadableBytesError: for any other text.
    """
    number = parse_count(text, limit)
    if number is None:
        raise UnreadableBytesError(f'{what}: {shortened(text)}')
    return number


def shortened(text: str | bytes) -> str:
    """Quote the beginning of a text of any length, for a log line or an error."""
    if len(text) <= QUOTED_CHARACTERS:
        return repr(text)
    return f'{text[:QUOTED_CHARACTERS]!r} and {len(text) - QUOTED_CHARACTERS} more characters'

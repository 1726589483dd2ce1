"""Tests that any text becomes a number of the stated range or none."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.util.numbers import COUNT_LIMIT, parse_count, parse_decimal, read_count, shortened

#: Texts that a library function takes for a number, or raises an error for that few expect.
ODD_NUMBERS = (
    *('', ' ', '+', '-1', '+1', '1_000', '1 ', ' 1', '0x10', '\u0661', '\u00b2', '\ud800'),
    *('9' * 400, '9' * 4_301, '0' * 4_301, '1e400', '-1e400', 'nan', 'inf', '-inf', 'infinity'),
)
ANY_TEXT = st.one_of(st.text(), st.from_regex(r'[-+]?\d+(\.\d*)?(e\d+)?'), st.integers().map(str))


def with_odd_numbers(test: Callable[..., None]) -> Callable[..., None]:
    """Add the odd numbers to the examples of a test."""
    for odd in ODD_NUMBERS:
        test = example(odd)(test)
    return test


@with_odd_numbers
@given(ANY_TEXT)
def test_any_text_is_a_count_or_none(text: str) -> None:
    number = parse_count(text, 1_000)
    assert number is None or (0 <= number <= 1_000 and text.isascii() and text.isdigit())
    assert parse_count(text.encode('utf-8', 'replace'), 1_000) == number


@with_odd_numbers
@given(ANY_TEXT)
def test_any_text_is_a_decimal_or_none(text: str) -> None:
    number = parse_decimal(text, -5.0, 1e6)
    assert number is None or (math.isfinite(number) and -5.0 <= number <= 1e6)
    assert parse_decimal(text.encode('utf-8', 'replace'), -5.0, 1e6) == number


@given(st.integers(0, COUNT_LIMIT))
def test_counts_and_decimals_in_range_are_parsed(number: int) -> None:
    assert parse_count(str(number)) == parse_count(str(number).encode()) == number
    assert parse_decimal(str(number), 0.0, 1e19) == float(number)


@pytest.mark.parametrize('text', ['1200.5', ' 1200.5\t', '1.2005E3', '+1200.50', '12005e-1'])
def test_decimal_forms_are_parsed(text: str) -> None:
    assert parse_decimal(text, 0.0, 1e6) == 1200.5


def test_error_quotes_only_the_beginning() -> None:
    with pytest.raises(UnreadableBytesError) as caught:
        read_count('9' * 60_000, 'port', 65_535)
    assert caught.value.message == f"port: '{'9' * 40}' and 59960 more characters"
    assert shortened(b'x') == "b'x'"

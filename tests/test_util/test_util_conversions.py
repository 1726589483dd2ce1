"""Tests that text from outside becomes a number only through ``citrondyke.util.numbers``."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
CONVERTERS = {'int', 'float', 'complex', 'Decimal', 'Fraction'}
#: Names of numbers are constants, or end in their unit, in ``_count``, or in one of these words.
NUMBER_NAME = re.compile(
    r'^[A-Z_]+$'
    r'|(^|_)(ms|s|bytes|count|tokens|streams|limit|ceiling|share|figure|percent|factor|total)$'
)
NUMERIC_CALLS = {'len', 'min', 'max', 'sum', 'round', 'abs', 'ceil', 'floor', 'sqrt', 'time'}
NUMERIC_CALLS |= {'random', 'draw'}
#: Number of calls without a number's name, by module, and why they convert nothing from outside.
OUR_OWN = {
    'citrondyke/util/numbers.py': (2, 'the conversion itself'),
    'citrondyke/platform/early_addresses.py': (2, 'at most five digits; before other imports'),
    'citrondyke/decisions/jobs/item_set.py': (1, 'a bitmap of an instance; base 16 has no limit'),
    'citrondyke/decisions/online/router.py': (1, 'a load, which is a number'),
    'citrondyke/decisions/servers/reported_slowdown.py': (1, 'a mean, which is a number'),
    'citrondyke/gateway/accounts/limit_exchange.py': (1, 'a count, which is a number'),
    'citrondyke/gateway/callers/admission_controller.py': (1, 'hexadecimal digits of a digest'),
    'citrondyke/gateway/gauges.py': (3, 'counts of the instance itself'),
    'citrondyke/gateway/peers/evidence_codec.py': (2, 'numbers of a row of fixed size'),
    'citrondyke/gateway/peers/server_list_read_delegation.py': (2, 'truth values'),
    'citrondyke/operator/histogram.py': (2, 'buckets of our own histogram'),
    'citrondyke/operator/log_events.py': (1, 'a tool of the operator that reads our logs'),
    'citrondyke/operator/loss_causes.py': (4, 'a tool of the operator that reads our logs'),
    'citrondyke/operator/item_history.py': (1, 'a tool of the operator that reads our logs'),
    'citrondyke/operator/job_history.py': (1, 'a tool of the operator that reads our logs'),
    'citrondyke/cmd/ctl/losses.py': (1, 'an argument on the command line of a tool'),
    'citrondyke/settings/load.py': (1, 'an index in a path that the library reports'),
    'citrondyke/standin/platform_server.py': (1, 'a stand-in for tests'),
    'citrondyke/standin/store_app.py': (4, 'a stand-in for tests'),
}


def is_number(node: ast.expr) -> bool:
    """Return whether an expression is evidently a number, or one of the float constants."""
    if isinstance(node, ast.Constant):
        return node.value in ('inf', '-inf', 'nan') or isinstance(node.value, int | float)
    if isinstance(node, ast.Name | ast.Attribute):
        name = node.id if isinstance(node, ast.Name) else node.attr
        return bool(NUMBER_NAME.search(name))
    if isinstance(node, ast.UnaryOp):
        return is_number(node.operand)
    if isinstance(node, ast.IfExp):
        return is_number(node.body) and is_number(node.orelse)
    if isinstance(node, ast.BinOp):
        # A text can be added to, repeated and formatted, but not divided or subtracted from.
        if isinstance(node.op, ast.Div | ast.FloorDiv | ast.Sub | ast.Pow):
            return True
        return is_number(node.left) and is_number(node.right)
    if isinstance(node, ast.Call):
        function = node.func
        name = function.attr if isinstance(function, ast.Attribute) else getattr(function, 'id', '')
        return name in NUMERIC_CALLS | CONVERTERS or bool(NUMBER_NAME.search(name))
    return False


def conversions(tree: ast.AST) -> Iterator[ast.Call]:
    """Find the calls that may convert a text, ``map(int, ...)`` among them."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        function = node.func
        name = function.attr if isinstance(function, ast.Attribute) else getattr(function, 'id', '')
        if name in CONVERTERS:
            if node.args and not all(is_number(each) for each in node.args):
                yield node
        elif name == 'map' and getattr(node.args[0], 'id', '') in CONVERTERS:
            yield node


def modules_with_conversions() -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for file in sorted((ROOT / 'citrondyke').rglob('*.py')):
        calls = [ast.unparse(call) for call in conversions(ast.parse(file.read_text()))]
        if calls:
            found[file.relative_to(ROOT).as_posix()] = calls
    return found


def test_text_is_converted_in_one_module() -> None:
    # ``int`` raises errors that few expect for a text of more than 4,300 digits, and for digits of
    # other scripts; a large number then fails elsewhere.
    found = modules_with_conversions()
    allowed = {name: count for name, (count, _) in OUR_OWN.items()}
    assert {name: calls for name, calls in found.items() if len(calls) > allowed.get(name, 0)} == {}
    assert {name: len(calls) for name, calls in found.items()} == allowed


@pytest.mark.parametrize(
    'code',
    [
        'int(text)',
        'float(value)',
        'int(text, 16)',
        'list(map(int, parts))',
        'int(row[0])',
        "int(headers.get('x'))",
        'float(text or 0)',
        'int(text + more)',
        'decimal.Decimal(text)',
        'int(text if text else 0)',
        "int('9' * 5)",
    ],
)
def test_conversion_of_a_text_is_found(code: str) -> None:
    assert list(conversions(ast.parse(code)))

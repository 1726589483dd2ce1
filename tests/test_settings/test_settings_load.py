"""The error for an invalid setting names its file, its key, its value and the allowed values."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.errors import SettingsInvalidError
from citrondyke.settings import check_settings

VALID = """
[instance]
id = 'a'
zone = 'z'
[platform]
table_url = 'http://127.0.0.1:1'
objects_url = 'http://127.0.0.1:1'
lists_url = 'http://127.0.0.1:1'
[peers]
keys = ['0123456789abcdef']
"""


def test_valid_settings_are_accepted() -> None:
    assert check_settings(VALID, 'f').instance.id == 'a'


@pytest.mark.parametrize(
    ('change', 'key', 'value'),
    [
        (("id = 'a'", "id = 'a b'"), 'instance.id', 'a b'),
        (("zone = 'z'", 'http_port = 0\nzone = "z"'), 'instance.http_port', 0),
        (("zone = 'z'", ''), 'instance.zone', None),
        (("zone = 'z'", 'zone = "z"\nnonsense = 1'), 'instance.nonsense', 1),
        (("keys = ['0123456789abcdef']", 'keys = ["short"]'), 'peers.keys[0]', 'short'),
    ],
)
def test_error_for_invalid_value_names_key_and_value(
    change: tuple[str, str], key: str, value: object
) -> None:
    with pytest.raises(SettingsInvalidError) as caught:
        check_settings(VALID.replace(*change), 'the-file')
    error = caught.value
    assert (error.file, error.key, error.value) == ('the-file', key, value)
    assert error.allowed


@given(st.text())
def test_any_text_is_accepted_or_raises_the_documented_error(text: str) -> None:
    try:
        check_settings(text, 'f')
    except SettingsInvalidError as error:
        assert error.message


def test_check_settings_option_reports_by_exit_code(tmp_path: Path) -> None:
    file = tmp_path / 'a.toml'
    command = [sys.executable, '-m', 'citrondyke.cmd.citrondyked', '--settings', str(file)]
    file.write_text(VALID)
    assert subprocess.run([*command, '--check-settings'], check=False).returncode == 0
    file.write_text(VALID.replace("zone = 'z'", 'zone = 7'))
    completed = subprocess.run(
        [*command, '--check-settings'], check=False, capture_output=True, text=True
    )
    assert completed.returncode == 2
    assert 'instance.zone: 7' in completed.stderr


@pytest.mark.parametrize('value', ['9' * 4_301, '[' * 5_000 + ']' * 5_000, '9' * 400])
def test_error_for_a_value_that_the_parser_rejects_names_the_file(value: str) -> None:
    with pytest.raises(SettingsInvalidError) as caught:
        check_settings(VALID.replace("zone = 'z'", f'zone = {value}'), 'the-file')
    assert caught.value.file == 'the-file'
    assert len(str(caught.value)) < 1_000

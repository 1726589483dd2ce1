"""The daemon starts faster with bundled code and deferred imports."""

from __future__ import annotations

import marshal
import os
import subprocess
import sys
from pathlib import Path

import pytest

from citrondyke.util.code_bundle import LIBRARY, PACKAGES, open_bundle
from citrondyke.util.lazy_import import defer_import


def write_bundle(folder: Path, version: str = sys.version) -> str:
    code = marshal.dumps(compile('FOUND = __file__', 'bundled', 'exec'))
    entries = {'bundled_module': (PACKAGES, 'bundled_module.py', False, code)}
    file = folder / 'some.bundle'
    file.write_bytes(marshal.dumps((version, entries)))
    return str(file)


def test_bundled_modules_load_after_their_folder_was_moved(tmp_path: Path) -> None:
    roots = {PACKAGES: '/moved/here', LIBRARY: '/lib'}
    finder = open_bundle(write_bundle(tmp_path), roots)
    assert finder is not None
    try:
        import bundled_module  # type: ignore[import-not-found]
    finally:
        finder.close()
        sys.modules.pop('bundled_module', None)
    assert bundled_module.FOUND == '/moved/here/bundled_module.py'


@pytest.mark.parametrize('content', [b'', b'{', marshal.dumps(7), marshal.dumps((1, 2, 3))])
def test_an_invalid_bundle_is_ignored(tmp_path: Path, content: bytes) -> None:
    # An interrupted build can leave a truncated bundle.
    file = tmp_path / 'some.bundle'
    file.write_bytes(content)
    assert open_bundle(str(file), {}) is None
    assert open_bundle(str(tmp_path / 'none'), {}) is None


def test_a_bundle_of_another_interpreter_is_ignored(tmp_path: Path) -> None:
    assert open_bundle(write_bundle(tmp_path, '3.9'), {}) is None


def test_a_deferred_module_runs_at_its_first_use(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / 'unused_whole.py').write_text("RAN.append(1)\nNAME = 'whole'\n")
    (tmp_path / 'unused_part.py').write_text("PART = 'part'\n")
    monkeypatch.syspath_prepend(str(tmp_path))
    ran: list[int] = []
    defer_import('unused_whole', ('unused_part',))
    import unused_whole  # type: ignore[import-not-found]

    unused_whole.RAN = ran
    assert unused_whole.PART == 'part'
    assert ran == []
    assert unused_whole.NAME == 'whole'
    assert ran == [1]
    with pytest.raises(AttributeError):
        _ = unused_whole.NONE
    assert ran == [1]


def test_a_deferred_module_that_could_not_be_read_is_read_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Without a free file descriptor the module that shows source lines in tracebacks can't be read.
    # It must not stay without its names: then the accept loop fails in reporting its own failures.
    file = tmp_path / 'unread_module.py'
    file.write_text("NAME = 'read'\n")
    monkeypatch.syspath_prepend(str(tmp_path))
    defer_import('unread_module')
    import unread_module  # type: ignore[import-not-found]

    file.rename(tmp_path / 'away')
    with pytest.raises(OSError):
        _ = unread_module.NAME
    (tmp_path / 'away').rename(file)
    assert unread_module.NAME == 'read'


def test_the_bundle_contains_all_modules_that_the_daemon_imports(tmp_path: Path) -> None:
    # Without the sources of these modules, the daemon still starts and reports missing settings.
    package = Path(__file__).parents[2] / 'citrondyke'
    tree = tmp_path / 'citrondyke'
    subprocess.run(['cp', '-r', str(package), str(tree)], check=True)
    path = os.pathsep.join([str(tmp_path), *sys.path])
    environment = {'PATH': os.environ['PATH'], 'PYTHONPATH': path}
    python = [sys.executable, '-P', '-S', '-m']
    make = [*python, 'citrondyke.cmd.make_bundle']
    subprocess.run(make, env=environment, cwd=tmp_path, check=True)
    for part in ('gateway', 'decisions', 'platform/adapters.py', 'cmd/run_gateway.py'):
        (tree / part).rename(tmp_path / part.replace('/', '-'))
    run = [*python, 'citrondyke.cmd.gateway']
    process = subprocess.run(run, env=environment, cwd=tmp_path, capture_output=True, check=False)
    assert process.returncode == 2, process.stderr
    assert b'CITRONDYKE_NODE_FILE' in process.stderr

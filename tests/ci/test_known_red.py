"""`.ci/test` ignores failures of the tests in KNOWN-RED.txt, and no others."""

import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
GREEN = "tests/test_it.py::test_green"
RED = "tests/test_it.py::test_red"
TESTS = """\
def test_green(): pass
def test_leaf(): pass
def test_leaflet(): pass
def test_red(): assert False, 'red as known'
"""
ENTRY = re.compile(
    r"tests/\S+\n    command: .+\n    seed: .+\n    seen: .+\n    issue: .+"
)


@pytest.fixture
def run_tests(tmp_path):
    """Returns a function that runs `.ci/test` in a small checkout, given known ids."""
    (tmp_path / ".ci").mkdir()
    shutil.copy(ROOT / ".ci/test", tmp_path / ".ci/test")
    (tmp_path / ".venv/bin").mkdir(parents=True)
    python = tmp_path / ".venv/bin/python"
    python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
    python.chmod(0o755)
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")

    def run(*known_red):
        (tmp_path / "KNOWN-RED.txt").write_text("# comment\n" + "\n".join(known_red))
        script = [str(tmp_path / ".ci/test")]
        return subprocess.run(script, capture_output=True, text=True)

    return run


def test_a_known_failure_is_printed_and_ignored(run_tests):
    completed = run_tests(RED)
    assert completed.returncode == 0, completed.stdout
    assert "red as known" in completed.stdout
    assert "still fail" in completed.stdout


def test_an_unlisted_failure_counts(run_tests):
    assert run_tests().returncode == 1
    assert run_tests(GREEN).returncode == 1


def test_a_listed_test_that_passes_is_reported(run_tests):
    completed = run_tests(RED, GREEN)
    assert completed.returncode == 0
    assert f"PASSED {GREEN}" in completed.stdout


def test_an_id_matches_no_other_test(run_tests):
    completed = run_tests(RED, "tests/test_it.py::test_leaf")
    assert completed.returncode == 2
    assert "test_leaflet" in completed.stdout


def test_an_unknown_id_is_an_error(run_tests):
    assert run_tests(RED, "tests/test_it.py::test_gone").returncode > 1


def test_the_list_has_the_required_format():
    text = (ROOT / "KNOWN-RED.txt").read_text()
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    entries = [entry for entry in "\n".join(lines).strip().split("\n\n") if entry]
    assert all(ENTRY.fullmatch(entry) for entry in entries)

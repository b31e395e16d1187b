"""The command line: help, exit codes, one clear line for wrong input."""

import subprocess
import sys

import msgspec
import pytest
from checks.cases import HOST

from mangospoke.keys import parse_hash, split_key, verify_secret
from mangospoke.management.exits import ExitCode
from mangospoke.management.main import create_app, run

COMMANDS = [
    *(["daemon"], ["check"], ["publish"], ["status"], ["diff"], ["demo"], ["bench"]),
    *(["keys", "new"], ["keys", "hash"]),
    *(["standin", "log"], ["standin", "upstream"], ["standin", "faults"]),
]


@pytest.mark.parametrize("command", COMMANDS, ids=" ".join)
def test_every_command_is_listed_and_has_help(command, capsys):
    assert run([*command[:-1], "--help"]) == ExitCode.OK
    assert command[-1] in capsys.readouterr().out
    assert run([*command, "--help"]) == ExitCode.OK
    assert f"Usage: mangospoke {' '.join(command)}" in capsys.readouterr().out


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_knows_commands_and_options(shell):
    completion = create_app().generate_completion(shell=shell)
    for word in ("publish", "keys", "--timeout-s", "--settings"):
        assert word in completion


@pytest.mark.parametrize(
    "arguments",
    [
        ["keys", "new", "--no-such-option"],
        ["keys", "new", "a.b"],
        ["no-such-command"],
        ["daemon"],
        ["status", "--log", "nowhere"],
        ["diff", "base.toml"],
    ],
)
def test_wrong_usage_is_told_in_one_line(arguments, capsys):
    assert run(arguments) == ExitCode.USAGE
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_a_new_key_fits_its_declared_hash(capsys):
    assert run(["keys", "new", "acme", "--json"]) == ExitCode.OK
    printed = msgspec.json.decode(capsys.readouterr().out)
    key_id, secret = split_key(printed["key"].encode())
    assert key_id == printed["key_id"]
    assert verify_secret(secret, parse_hash(printed["hash"]))
    assert f"[accounts.acme.keys.{key_id}]" in printed["declaration"]


@pytest.mark.parametrize("given", ["s1\n", "k1.s1\n"])
def test_a_secret_is_hashed_from_standard_input(given):
    command = [sys.executable, "-m", "mangospoke", "keys", "hash"]
    done = subprocess.run(command, input=given, capture_output=True, text=True)
    assert done.returncode == ExitCode.OK
    assert verify_secret(b"s1", parse_hash(done.stdout.strip()))


def test_a_daemon_without_settings_says_so_in_one_line(tmp_path, capsys):
    missing = tmp_path / "host.toml"
    assert run(["daemon", "--settings", str(missing)]) == ExitCode.USAGE
    error = capsys.readouterr().err
    assert str(missing) in error
    assert len(error.splitlines()) == 1


def test_a_daemon_does_not_start_on_settings_with_errors(tmp_path, capsys):
    path = tmp_path / "host.toml"
    path.write_text(HOST.replace("127.0.0.1:7001", "10.0.0.1:7001"))
    assert run(["daemon", "--settings", str(path)]) == ExitCode.USAGE
    assert f"{path}:7: mangospoke.E061: " in capsys.readouterr().err

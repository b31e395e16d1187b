"""All reference pages that are made, by file name."""

import inspect
from collections.abc import Iterator

from cyclopts import App

from mangospoke.checks.catalogue import CHECKS_BY_ID
from mangospoke.management.exits import ExitCode
from mangospoke.management.main import create_app
from mangospoke.management.reference.types import (
    render_declarations,
    render_events,
    render_settings,
)

_MADE = "Made by `mangospoke reference`; don't edit."


def render_pages() -> dict[str, str]:
    """Renders all pages, by file name."""
    return {
        "declarations.md": render_declarations(),
        "settings.md": render_settings(),
        "events.md": render_events(),
        "checks.md": _render_checks(),
        "commands.md": _render_commands(),
    }


def _render_checks() -> str:
    lines = [
        "# Checks",
        "",
        _MADE,
        "",
        "`mangospoke check` lists every fault with its id, file, line and a hint. `E`",
        "is an error, which keeps a change from being published or a daemon from",
        "starting; `W` is a warning.",
        "",
        "| id | what is wrong | what to do |",
        "| --- | --- | --- |",
    ]
    for check in CHECKS_BY_ID.values():
        lines.append(f"| `{check.id}` | {check.summary} | {check.hint} |")
    return "\n".join([*lines, ""])


def _render_commands() -> str:
    lines = [
        "# Commands",
        "",
        _MADE,
        "",
        "`mangospoke --install-completion` installs completion for your shell.",
        "",
        "## Exit codes",
        "",
        "| code | |",
        "| --- | --- |",
    ]
    for code, text in _exit_texts().items():
        lines.append(f"| {code.value} | {text} |")
    lines.append("")
    lines.extend(_render_group(create_app(), "mangospoke"))
    return "\n".join(lines)


def _exit_texts() -> dict[ExitCode, str]:
    """Reads the text that follows each member in the source of `ExitCode`."""
    texts_by_code = {}
    parts = inspect.getsource(ExitCode).split('"""')
    # Each member's assignment ends one part, and its text is the next.
    for assignment, text in zip(parts[2::2], parts[3::2], strict=False):
        name = assignment.split()[-3]
        texts_by_code[ExitCode[name]] = " ".join(text.split())
    return texts_by_code


def _render_group(app: App, path: str) -> Iterator[str]:
    for name in sorted(app):
        if name.startswith("-"):
            continue
        command = app[name]
        if not command.show:
            continue
        inner = f"{path} {name}"
        if command.default_command is None:
            yield from _render_group(command, inner)
        else:
            yield from _render_command(command, inner)


def _render_command(command: App, path: str) -> Iterator[str]:
    function = command.default_command
    assert callable(function)
    doc = inspect.getdoc(function) or ""
    description, _, arguments = doc.partition("Args:\n")
    yield f"## `{path}`"
    yield ""
    yield description.strip()
    yield ""
    texts_by_name = _argument_texts(arguments)
    parameters = inspect.signature(function).parameters
    if not parameters:
        return
    yield "| parameter | default | |"
    yield "| --- | --- | --- |"
    for parameter in parameters.values():
        name = _parameter_name(parameter)
        default = _parameter_default(parameter)
        yield f"| {name} | {default} | {texts_by_name.get(parameter.name, '')} |"
    yield ""


def _argument_texts(arguments: str) -> dict[str, str]:
    texts_by_name: dict[str, str] = {}
    name = ""
    for line in arguments.splitlines():
        if line.startswith("        ") and name:
            texts_by_name[name] += " " + line.strip()
        elif ": " in line:
            name, _, text = line.strip().partition(": ")
            texts_by_name[name] = text
    return texts_by_name


def _parameter_name(parameter: inspect.Parameter) -> str:
    if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
        return f"`{parameter.name.upper()}...`"
    if parameter.kind is inspect.Parameter.KEYWORD_ONLY:
        return f"`--{parameter.name.replace('_', '-')}`"
    return f"`{parameter.name.upper()}`"


def _parameter_default(parameter: inspect.Parameter) -> str:
    if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
        return ""
    if parameter.default is inspect.Parameter.empty:
        return "required"
    if parameter.default in (None, False, ""):
        return ""
    return f"`{parameter.default}`"

"""Reference pages of declarations and settings, made from their types."""

import enum
import inspect
import re
import types
import typing
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Meta, Struct

from mangospoke.conf.declarations import Base, Overlay
from mangospoke.conf.settings import Settings
from mangospoke.observability.events import EVENTS, Attempt

_ATTRIBUTE = re.compile(r"^    (\w+): (.*)$")
_CONTINUATION = "        "
_NAMES_BY_TYPE = {str: "text", int: "integer", float: "number", bool: "boolean"}


def render_declarations() -> str:
    """Renders the page of the base file and the overlays."""
    return "\n".join(
        [
            "# Declarations",
            "",
            "Made from the types by `mangospoke reference`; don't edit.",
            "",
            "The base file holds for the whole fleet; an overlay changes it at one",
            "site. Names and ids are made of letters, digits, `_` and `-`. A name that",
            "isn't listed is a fault.",
            "",
            "## Base file",
            "",
            *_render_table(Base, ""),
            "## Overlay",
            "",
            *_render_table(Overlay, ""),
        ]
    )


def render_settings() -> str:
    """Renders the page of a host's settings."""
    return "\n".join(
        [
            "# Settings of a host",
            "",
            "Made from the types by `mangospoke reference`; don't edit.",
            "",
            "A daemon reads one file, once, when it starts. An address is an IPv4",
            "number and a port, such as `10.0.0.7:8080`.",
            "",
            *_render_table(Settings, ""),
        ]
    )


def render_events() -> str:
    """Renders the page of the typed events in the log."""
    lines = [
        "# Events of requests in the log",
        "",
        "Made from the types by `mangospoke reference`; don't edit.",
        "",
        "Each is one line of JSON on standard output, with `time`, `host_id` and",
        "`event` beside the fields below. A field that is empty or 0 is left out.",
        "",
    ]
    for event in EVENTS:
        lines += [f"## `{event.__struct_config__.tag}`", ""]
        lines += _render_event(event)
    lines += ["## An entry of `attempts`", "", *_render_event(Attempt)]
    return "\n".join(lines)


def _render_event(struct: type[Struct]) -> Iterator[str]:
    yield _summary(struct)
    yield ""
    yield "| field | type | |"
    yield "| --- | --- | --- |"
    texts_by_name = _attribute_texts(struct)
    for info in msgspec.structs.fields(struct):
        text = texts_by_name.get(info.name, "")
        yield f"| `{info.name}` | {_type_name(info.type)} | {text} |"
    yield ""


def _render_table(struct: type[Struct], path: str) -> Iterator[str]:
    """Renders a table of a TOML file, then those inside it."""
    if path:
        yield f"### `[{path}]`"
        yield ""
    yield f"{_summary(struct)}"
    yield ""
    texts_by_name = _attribute_texts(struct)
    inner: list[tuple[type[Struct], str]] = []
    rows = []
    for info in msgspec.structs.fields(struct):
        nested = _nested_struct(info.type)
        if nested is not None:
            name, placeholder = nested
            inner_path = f"{path}.{info.name}" if path else info.name
            inner.append((name, f"{inner_path}{placeholder}"))
            continue
        text = texts_by_name.get(info.name, "")
        rows.append(
            f"| `{info.name}` | {_type_name(info.type)} | {_default(info)} | {text} |"
        )
    if rows:
        yield "| name | type | default | |"
        yield "| --- | --- | --- | --- |"
        yield from rows
        yield ""
    for struct_type, inner_path in inner:
        yield from _render_table(struct_type, inner_path)


def _nested_struct(annotation: Any) -> tuple[type[Struct], str] | None:
    """The table that a field holds, and how its name goes on in a header."""
    if isinstance(annotation, type) and issubclass(annotation, Struct):
        return annotation, ""
    if typing.get_origin(annotation) is dict:
        key_type, value_type = typing.get_args(annotation)
        if isinstance(value_type, type) and issubclass(value_type, Struct):
            return value_type, f".{_placeholder(key_type)}"
    return None


def _placeholder(key_type: Any) -> str:
    words = re.findall(r"[A-Z][a-z]*", key_type.__name__)
    return "_".join(words).upper()


def _summary(struct: type[Struct]) -> str:
    return (inspect.getdoc(struct) or "").split("\n\n")[0].replace("\n", " ")


def _attribute_texts(struct: type[Struct]) -> dict[str, str]:
    """Reads the attributes' texts from the docstring."""
    texts_by_name: dict[str, str] = {}
    name = ""
    for line in (inspect.getdoc(struct) or "").splitlines():
        match = _ATTRIBUTE.match(line)
        if match is not None:
            name = match[1]
            texts_by_name[name] = match[2]
        elif name and line.startswith(_CONTINUATION):
            texts_by_name[name] += " " + line.strip()
    return texts_by_name


def _type_name(annotation: Any) -> str:
    while hasattr(annotation, "__supertype__"):
        annotation = annotation.__supertype__
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is typing.Annotated:
        return _annotated_name(arguments)
    if origin is tuple:
        return f"array of {_type_name(arguments[0])}"
    if origin is dict:
        return f"table of {_type_name(arguments[1])} by {_type_name(arguments[0])}"
    if origin in (typing.Union, types.UnionType):
        return _type_name(arguments[0])
    if issubclass(annotation, enum.Enum):
        return ", ".join(f"`{member.value}`" for member in annotation)
    if issubclass(annotation, Struct):
        return f"`{annotation.__name__}`"
    return _NAMES_BY_TYPE[annotation]


def _annotated_name(arguments: tuple[Any, ...]) -> str:
    name = _type_name(arguments[0])
    meta = arguments[1]
    assert isinstance(meta, Meta)
    if meta.pattern is not None:
        return "address"
    if meta.gt is not None:
        return f"{name} > {meta.gt}"
    if meta.ge is not None:
        return f"{name} >= {meta.ge}"
    return name


def _default(info: Any) -> str:
    if info.required:
        return "required"
    default = info.default
    if default is msgspec.NODEFAULT:
        default = info.default_factory()
    if default is None:
        return "as in the base"
    if isinstance(default, enum.Enum):
        default = default.value
    if default in ((), {}):
        return "none"
    return f"`{msgspec.json.encode(default).decode()}`"

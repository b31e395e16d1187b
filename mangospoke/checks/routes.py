"""Checks of routes, as declared and as each site's overlay changes them."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from mangospoke.checks.calls import find_depths
from mangospoke.checks.catalogue import (
    AMBIGUOUS_ROUTE,
    DEADLINE_SHORTER_THAN_CALLS,
    MALFORMED_PATH,
    MANY_RETRIES,
    UNIMPORTANT_NON_IDEMPOTENT,
    UNKNOWN_METHOD,
    UNREACHABLE_ROUTE,
)
from mangospoke.checks.registry import (
    Declarations,
    Found,
    make_message,
    register_declarations_check,
)
from mangospoke.conf.declarations import (
    Access,
    Base,
    Importance,
    Overlay,
    Route,
    RouteOverlay,
)
from mangospoke.conf.lines import KeyPath
from mangospoke.conf.loading import Loaded
from mangospoke.ids import RouteName, ServiceName

METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"})
MAXIMUM_RETRIES_TIMES_DEPTH = 24

_LITERAL_SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()+,;=:@%-]+\Z")
_PARAMETER_SEGMENT = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}\Z")
_PARAMETER = "{}"
_REST = "*"


@dataclass(frozen=True, slots=True)
class _RouteView:
    """A route as it is in the base, or at a site that changes it.

    Attributes:
        loaded: The file that set it so.
        overlay: The site's overlay, or None for the base.
    """

    loaded: Loaded[Any]
    overlay: Overlay | None
    path: KeyPath
    service: ServiceName
    name: RouteName
    importance: Importance
    deadline_ms: int
    retries: int
    declared: Route

    def __str__(self) -> str:
        return f"route {self.service}/{self.name}"


def _each_route(base: Base) -> Iterator[tuple[ServiceName, RouteName, Route]]:
    for service_name, service in base.services.items():
        for route_name, route in service.routes.items():
            yield service_name, route_name, route


def _route_path(service: ServiceName, route: RouteName) -> KeyPath:
    return ("services", service, "routes", route)


@register_declarations_check
def check_methods(declarations: Declarations, base: Base) -> Found:
    """Methods are compared as they stand, so a misspelt one never matches."""
    for service, name, route in _each_route(base):
        if route.method not in METHODS:
            path = (*_route_path(service, name), "method")
            text = f"{route.method!r} isn't a method"
            yield make_message(UNKNOWN_METHOD, declarations.base, path, text)


@register_declarations_check
def check_paths(declarations: Declarations, base: Base) -> Found:
    """A malformed pattern would match other paths than it seems to."""
    for service, name, route in _each_route(base):
        fault = find_path_fault(route.path)
        if fault:
            path = (*_route_path(service, name), "path")
            text = f"path {route.path!r}: {fault}"
            yield make_message(MALFORMED_PATH, declarations.base, path, text)


def find_path_fault(pattern: str) -> str:
    """Says what is wrong with a path pattern; empty if nothing is."""
    if not pattern.startswith("/"):
        return "it doesn't begin with '/'"
    segments = pattern[1:].split("/")
    parameters = []
    for index, segment in enumerate(segments):
        is_last = index == len(segments) - 1
        if segment == _REST and is_last:
            continue
        if _PARAMETER_SEGMENT.match(segment):
            parameters.append(segment)
        elif segment == "" and is_last and index == 0:
            continue
        elif segment == "":
            return "it has an empty segment"
        elif not _LITERAL_SEGMENT.match(segment):
            return f"segment {segment!r} is neither literal nor {{name}}"
    if len(set(parameters)) < len(parameters):
        return "it uses a name twice"
    return ""


@register_declarations_check
def check_ambiguous_routes(declarations: Declarations, base: Base) -> Found:
    """Two routes of one shape: which of them matched would be chance."""
    first_by_shape: dict[tuple[str, str], tuple[ServiceName, RouteName]] = {}
    for service, name, route in _each_route(base):
        shape = (route.method, _shape(route.path))
        other = first_by_shape.setdefault(shape, (service, name))
        if other == (service, name):
            continue
        path = _route_path(service, name)
        other_path = _route_path(*other)
        line = declarations.base.lines.find(other_path)
        text = (
            f"{route.method} {route.path} of {service}/{name} is matched by "
            f"{'/'.join(other)} too, declared in line {line}"
        )
        paths = [
            (*each, field)
            for each in (path, other_path)
            for field in ("method", "path")
        ]
        yield make_message(AMBIGUOUS_ROUTE, declarations.base, path, text, paths)


def _shape(pattern: str) -> str:
    segments = pattern.strip("/").split("/")
    return "/".join(
        _PARAMETER if segment.startswith("{") else segment for segment in segments
    )


@register_declarations_check
def check_importance(declarations: Declarations, base: Base) -> Found:
    """What can't be sent again should be shed last."""
    for view in _views(declarations, base, "importance"):
        if view.declared.idempotent or view.importance <= Importance.HIGH:
            continue
        text = f"{view} is non-idempotent, but of {view.importance.name.lower()}"
        yield make_message(
            UNIMPORTANT_NON_IDEMPOTENT,
            view.loaded,
            (*view.path, "importance"),
            f"{text} importance",
            [(*view.path, "idempotent")],
        )


@register_declarations_check
def check_deadlines(declarations: Declarations, base: Base) -> Found:
    """A call can't be given more time than its caller has left."""
    for view in _views(declarations, base, "deadline_ms"):
        for called in base.services[view.service].calls:
            shortest = _shortest_deadline_ms(base, view.overlay, called)
            if shortest is None or view.deadline_ms >= shortest:
                continue
            text = (
                f"{view} has {view.deadline_ms} ms, but every route of {called!r}, "
                f"which it may call, has at least {shortest} ms"
            )
            path = (*view.path, "deadline_ms")
            yield make_message(DEADLINE_SHORTER_THAN_CALLS, view.loaded, path, text)


def _shortest_deadline_ms(
    base: Base, overlay: Overlay | None, name: ServiceName
) -> int | None:
    service = base.services.get(name)
    if service is None:
        return None
    deadlines_by_route = {
        route_name: route.deadline_ms for route_name, route in service.routes.items()
    }
    changes = overlay.services.get(name) if overlay is not None else None
    if changes is not None:
        for route_name, route_changes in changes.routes.items():
            if route_name in service.routes and route_changes.deadline_ms:
                deadlines_by_route[route_name] = route_changes.deadline_ms
    return min(deadlines_by_route.values(), default=None)


@register_declarations_check
def check_retries(declarations: Declarations, base: Base) -> Found:
    """A retry at the root may run all that lies beneath it again."""
    depths_by_service = find_depths(base.services)
    for view in _views(declarations, base, "retries"):
        depth = depths_by_service[view.service]
        if view.retries * depth > MAXIMUM_RETRIES_TIMES_DEPTH:
            text = f"{view} allows {view.retries} retries and calls {depth} deep"
            path = (*view.path, "retries")
            yield make_message(MANY_RETRIES, view.loaded, path, text)


@register_declarations_check
def check_unreachable_routes(declarations: Declarations, base: Base) -> Found:
    """Internal routes exist for the services that call them."""
    called = {name for service in base.services.values() for name in service.calls}
    for service, name, route in _each_route(base):
        if route.access is Access.INTERNAL and service not in called:
            path = (*_route_path(service, name), "access")
            text = f"route {service}/{name} is internal, but nobody calls {service!r}"
            yield make_message(UNREACHABLE_ROUTE, declarations.base, path, text)


def _views(declarations: Declarations, base: Base, field: str) -> Iterator[_RouteView]:
    """Yields each route of the base, then those whose field an overlay changes."""
    for service, name, route in _each_route(base):
        yield _view(declarations.base, None, service, name, route, RouteOverlay())
    for loaded in declarations.overlays:
        overlay = loaded.partial
        if overlay is None:
            continue
        for service, changes in overlay.services.items():
            for name, route_changes in changes.routes.items():
                declared = _find_route(base, service, name)
                changed = getattr(route_changes, field) is not None
                if declared is not None and changed:
                    yield _view(loaded, overlay, service, name, declared, route_changes)


def _find_route(base: Base, service: ServiceName, name: RouteName) -> Route | None:
    declared = base.services.get(service)
    return None if declared is None else declared.routes.get(name)


def _view(
    loaded: Loaded[Any],
    overlay: Overlay | None,
    service: ServiceName,
    name: RouteName,
    route: Route,
    changes: RouteOverlay,
) -> _RouteView:
    importance = changes.importance or route.importance
    return _RouteView(
        loaded=loaded,
        overlay=overlay,
        path=_route_path(service, name),
        service=service,
        name=name,
        importance=importance.importance,
        deadline_ms=changes.deadline_ms or route.deadline_ms,
        retries=route.retries if changes.retries is None else changes.retries,
        declared=route,
    )

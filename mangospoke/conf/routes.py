"""Matching of a request's method and path, or host and path, to a route."""

import enum
from typing import Generic, TypeVar

RouteType = TypeVar("RouteType")

_REST = "*"


class Mismatch(enum.Enum):
    """Why no route matched."""

    PATH = "path"
    METHOD = "method"


class _Node(Generic[RouteType]):
    """A segment of declared paths."""

    __slots__ = ("any_segment", "children_by_segment", "rest_by_method", "by_method")

    def __init__(self) -> None:
        self.children_by_segment: dict[str, _Node[RouteType]] = {}
        self.any_segment: _Node[RouteType] | None = None
        self.by_method: dict[str, RouteType] = {}
        self.rest_by_method: dict[str, RouteType] = {}


class RouteTable(Generic[RouteType]):
    """Routes by method and path; a literal segment goes before `{name}`."""

    def __init__(self) -> None:
        self._root: _Node[RouteType] = _Node()

    def add(self, method: str, path: str, route: RouteType) -> None:
        """Adds a route under its declared path."""
        node = self._root
        segments = path.strip("/").split("/")
        for segment in segments:
            if segment == _REST:
                node.rest_by_method[method] = route
                return
            node = _child(node, segment)
        node.by_method[method] = route

    def match(self, method: str, path: str) -> RouteType | Mismatch:
        """Finds the route of a request.

        Args:
            method: The request's method.
            path: The request's path, without its query.
        """
        segments = path.strip("/").split("/")
        return _descend(self._root, segments, 0, method)


class HostRoutes(Generic[RouteType]):
    """Routes by host name and path prefix; the longest prefix goes first."""

    def __init__(self) -> None:
        self._by_prefix_by_host: dict[str, dict[str, RouteType]] = {}

    def add(self, host: str, prefix: str, route: RouteType) -> None:
        """Adds a route.

        Args:
            host: The host name.
            prefix: A path that begins and ends with a slash.
            route: The route.
        """
        self._by_prefix_by_host.setdefault(host.lower(), {})[prefix] = route

    def match(self, host: str, path: str) -> RouteType | None:
        """Finds the route of a request.

        Args:
            host: The request's host name, with or without a port.
            path: The request's path, without its query.
        """
        name = host.partition(":")[0].lower()
        by_prefix = self._by_prefix_by_host.get(name)
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _child(node: _Node[RouteType], segment: str) -> _Node[RouteType]:
    if segment.startswith("{") and segment.endswith("}"):
        if node.any_segment is None:
            node.any_segment = _Node()
        return node.any_segment
    return node.children_by_segment.setdefault(segment, _Node())


def _descend(
    node: _Node[RouteType], segments: list[str], depth: int, method: str
) -> RouteType | Mismatch:
    mismatch = Mismatch.PATH
    if depth == len(segments):
        found = _take(node.by_method, method)
        if not isinstance(found, Mismatch):
            return found
        mismatch = found
    else:
        literal = node.children_by_segment.get(segments[depth])
        for child in (literal, node.any_segment):
            if child is None:
                continue
            found = _descend(child, segments, depth + 1, method)
            if not isinstance(found, Mismatch):
                return found
            mismatch = _more_telling(mismatch, found)
    found = _take(node.rest_by_method, method)
    if not isinstance(found, Mismatch):
        return found
    return _more_telling(mismatch, found)


def _take(by_method: dict[str, RouteType], method: str) -> RouteType | Mismatch:
    if not by_method:
        return Mismatch.PATH
    return by_method.get(method, Mismatch.METHOD)


def _more_telling(first: Mismatch, second: Mismatch) -> Mismatch:
    """A path that matches for another method says more than one that doesn't."""
    return Mismatch.METHOD if Mismatch.METHOD in (first, second) else Mismatch.PATH

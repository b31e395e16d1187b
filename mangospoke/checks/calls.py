"""Checks of the graph of calls between services."""

from collections.abc import Mapping

from mangospoke.checks.catalogue import (
    CALL_CYCLE,
    CALLS_TOO_DEEP,
    FEWER_CONNECTIONS_THAN_SLOTS,
    SERVICE_WITHOUT_ROUTES,
    UNKNOWN_CALLED_SERVICE,
)
from mangospoke.checks.registry import (
    Declarations,
    Found,
    make_message,
    register_declarations_check,
)
from mangospoke.conf.declarations import Base, Service
from mangospoke.ids import ServiceName

MAXIMUM_DEPTH = 12
"""Services in the longest chain of calls."""


@register_declarations_check
def check_called_services(declarations: Declarations, base: Base) -> Found:
    """A service can call only what is declared."""
    for name, service in base.services.items():
        for index, called in enumerate(service.calls):
            if called not in base.services:
                path = ("services", name, "calls", index)
                text = f"service {name!r} calls {called!r}, which isn't declared"
                yield make_message(
                    UNKNOWN_CALLED_SERVICE, declarations.base, path, text
                )


@register_declarations_check
def check_call_cycles(declarations: Declarations, base: Base) -> Found:
    """A cycle feeds an overload back into itself."""
    for cycle in find_cycles(base.services):
        path = ("services", cycle[0], "calls")
        text = f"services call in a circle: {' -> '.join([*cycle, cycle[0]])}"
        yield make_message(CALL_CYCLE, declarations.base, path, text)


@register_declarations_check
def check_call_depth(declarations: Declarations, base: Base) -> Found:
    """The longest chain is told once, at the service that begins it."""
    depths_by_service = find_depths(base.services)
    called = {name for service in base.services.values() for name in service.calls}
    for name, depth in depths_by_service.items():
        if depth > MAXIMUM_DEPTH and name not in called:
            path = ("services", name)
            text = f"calls from {name!r} go {depth} services deep"
            yield make_message(CALLS_TOO_DEEP, declarations.base, path, text)


@register_declarations_check
def check_services(declarations: Declarations, base: Base) -> Found:
    """A service needs routes, and connections for its slots."""
    for name, service in base.services.items():
        path = ("services", name)
        if not service.routes:
            text = f"service {name!r} has no routes"
            yield make_message(
                SERVICE_WITHOUT_ROUTES,
                declarations.base,
                path,
                text,
                [(*path, "routes")],
            )
        if service.connections < service.slots:
            text = (
                f"service {name!r} has {service.slots} slots, but accepts "
                f"{service.connections} connections"
            )
            yield make_message(
                FEWER_CONNECTIONS_THAN_SLOTS,
                declarations.base,
                (*path, "slots"),
                text,
                [(*path, "connections")],
            )


def find_cycles(services: Mapping[ServiceName, Service]) -> list[list[ServiceName]]:
    """Finds the circles in which services call each other."""
    return _walk(services)[1]


def find_depths(services: Mapping[ServiceName, Service]) -> dict[ServiceName, int]:
    """Finds how many services the longest chain from each one passes.

    A call that closes a circle isn't counted.
    """
    depths_by_service: dict[ServiceName, int] = {}
    for name in _walk(services)[0]:
        depths = [depths_by_service.get(call, 0) for call in _calls(name, services)]
        depths_by_service[name] = 1 + max(depths, default=0)
    return depths_by_service


def _walk(
    services: Mapping[ServiceName, Service],
) -> tuple[list[ServiceName], list[list[ServiceName]]]:
    """Walks the graph depth first.

    Returns:
        The services, each after those that it calls, and the circles found.
    """
    finished: dict[ServiceName, None] = {}
    cycles: list[list[ServiceName]] = []
    for start in services:
        if start not in finished:
            _walk_from(start, services, finished, cycles)
    return list(finished), cycles


def _walk_from(
    start: ServiceName,
    services: Mapping[ServiceName, Service],
    finished: dict[ServiceName, None],
    cycles: list[list[ServiceName]],
) -> None:
    # An explicit stack, so that a chain of any length can be walked.
    chain = [start]
    pending = [iter(_calls(start, services))]
    while chain:
        called = next(pending[-1], None)
        if called is None:
            finished[chain.pop()] = None
            pending.pop()
        elif called in chain:
            cycles.append(chain[chain.index(called) :])
        elif called not in finished:
            chain.append(called)
            pending.append(iter(_calls(called, services)))


def _calls(
    name: ServiceName, services: Mapping[ServiceName, Service]
) -> list[ServiceName]:
    return [called for called in services[name].calls if called in services]

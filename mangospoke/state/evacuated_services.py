"""Services that an evacuation leaves without any upstream.

The order is obeyed all the same: what is left can be refused in time, and the operator
may have a reason that no daemon knows. But nobody is to find that out by chance.
"""

from collections.abc import Mapping

from loguru import logger

from mangospoke.ids import FailureDomainId, HostId, ServiceName
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.state.fleet import Fleet


class EvacuatedServices:
    """Finds and logs the services that have upstreams in evacuated domains only.

    Attributes:
        services: The services, sorted.
    """

    def __init__(self, fleet: Fleet, domains: tuple[FailureDomainId, ...]) -> None:
        """Initializes the state without evacuations.

        Args:
            fleet: The known upstreams and evacuations.
            domains: The declared failure domains.
        """
        self.services: list[ServiceName] = []
        self._fleet = fleet
        self._declared_domains = set(domains)
        self._unknown_domains: set[FailureDomainId] = set()
        fleet.membership_listeners.append(self._update)
        fleet.evacuations.listeners.append(self._update)

    def _update(self) -> None:
        domains = self._fleet.evacuations.domains()
        before, self.services = set(self.services), []
        if domains:
            by_service = self._fleet.upstreams_by_service
            self.services = sorted(
                service
                for service, upstreams in by_service.items()
                if self._is_evacuated(upstreams)
            )
        for service in sorted(set(self.services) - before):
            logger.bind(event="service_evacuated", service=service).error(
                "all upstreams of service {} are in evacuated failure domains: its "
                "requests are refused until one is taken back",
                service,
            )
        for service in sorted(before - set(self.services)):
            logger.bind(event="service_has_upstreams", service=service).info(
                "service {} has upstreams outside of evacuated domains again", service
            )
        self._log_unknown_domains(set(domains))

    def _is_evacuated(self, upstreams: Mapping[HostId, UpstreamAnnounced]) -> bool:
        serving = [
            upstream
            for upstream in upstreams.values()
            if upstream.state is UpstreamState.SERVING
        ]
        evacuations = self._fleet.evacuations
        return bool(serving) and all(
            evacuations.is_evacuated(upstream.failure_domain) for upstream in serving
        )

    def _log_unknown_domains(self, domains: set[FailureDomainId]) -> None:
        unknown = domains - self._declared_domains
        for domain in sorted(unknown - self._unknown_domains):
            logger.bind(event="evacuation_unknown", failure_domain=domain).error(
                "failure domain {} is to be evacuated, but none is declared under that "
                "name",
                domain,
            )
        self._unknown_domains = unknown

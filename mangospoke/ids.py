"""Identifier types."""

from typing import NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
SiteId = NewType("SiteId", str)
ClientAccountId = NewType("ClientAccountId", str)
KeyId = NewType("KeyId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
NO_ROUTE = RouteName("")
RequestId = NewType("RequestId", str)
ExecutionToken = NewType("ExecutionToken", str)
InstanceId = NewType("InstanceId", str)
"""One run of an upstream process, by the name that it announces."""

UpstreamRun = NewType("UpstreamRun", str)
"""One run of an upstream process, by its instance and its start."""

IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", int)
"""Wall-clock milliseconds at which a daemon process started.

Incarnations only order the daemon processes of one host; no guarantee relies on its
clock.
"""

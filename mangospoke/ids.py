"""Identifier types."""

from typing import NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
SiteId = NewType("SiteId", str)
ClientAccountId = NewType("ClientAccountId", str)
KeyId = NewType("KeyId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
RequestId = NewType("RequestId", str)
ExecutionToken = NewType("ExecutionToken", str)
InstanceId = NewType("InstanceId", str)
"""One start of an upstream, by the name that it gives itself."""

IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", int)
"""Wall-clock milliseconds at which a daemon process started.

Incarnations only order the lives of one host; no promise depends on its clock.
"""

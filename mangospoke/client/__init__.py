"""A caller's client library: calls with deadlines, verdicts and safe retries.

async with open_client(["10.0.0.7:8080"], key) as client:
    outcome = await client.call("POST", "/jobs", b"...")
"""

from mangospoke.client.client import Client, open_client
from mangospoke.client.outcomes import CallOutcome
from mangospoke.client.retrying import RetryPolicy

__all__ = ["CallOutcome", "Client", "RetryPolicy", "open_client"]

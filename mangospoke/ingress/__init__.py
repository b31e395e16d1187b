"""Handling of incoming requests: authentication, quota, load shedding and dispatch."""

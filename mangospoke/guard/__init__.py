"""Runs calls in the local upstream: admission, queueing, at-most-once execution."""

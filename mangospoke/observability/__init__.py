"""Logs, metrics and status of a daemon."""

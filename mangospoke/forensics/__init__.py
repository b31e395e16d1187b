"""Explaining afterwards, from logs alone, what became of requests."""

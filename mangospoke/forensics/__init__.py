"""Explains from log files alone how requests ended."""

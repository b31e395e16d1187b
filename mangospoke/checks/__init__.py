"""Checks over declarations and settings, with ids and hints."""

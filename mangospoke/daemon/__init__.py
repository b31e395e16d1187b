"""The daemon: assembly, supervision, listeners and graceful shutdown."""

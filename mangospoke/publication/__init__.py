"""Publication of the configuration through the log service."""

"""Client and record types of the platform's append-only log service."""

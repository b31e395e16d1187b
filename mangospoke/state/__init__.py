"""Fleet state, replicated from the log service's records."""

"""Small stand-ins for the systems outside: log service, upstream, network."""

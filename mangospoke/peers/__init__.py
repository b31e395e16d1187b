"""Peer protocol: requests that daemons forward to each other."""

"""Stand-ins of the review: the platform's store, servers, clients, and a fleet.

They use the standard library only, and follow the users' pages PROTOCOL and DEPLOY.
"""

"""Adapter to the users' platform: translates its names, formats and API calls.

It makes no decisions, and no other package knows the platform's names. Platform names
that are unclear or misleading have a comment.
"""

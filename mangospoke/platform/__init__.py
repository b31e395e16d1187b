"""The users' platform: its names, formats and calls, translated at this boundary.

Nothing in here decides anything, and nothing outside of it knows the platform's
names. A comment stands by each name of the platform that says little or misleads.
"""

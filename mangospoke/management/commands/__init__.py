"""One module a command.

A module's function `run` is the command: its parameters are the options, its
docstring the help. It returns an `ExitCode`, or None for a good end, and raises
`CommandError` if it can't go on. A command in a group is named `GROUP_COMMAND`, such
as `keys_new` or `standin_log`.
"""

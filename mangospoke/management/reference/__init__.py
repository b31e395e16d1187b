"""Reference pages, made from the types, the checks and the commands."""

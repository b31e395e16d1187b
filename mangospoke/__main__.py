"""Entry point of `python -m mangospoke`."""

from mangospoke.management.main import main

main()

"""`mangospoke reference`: write the reference pages."""

from pathlib import Path

from mangospoke.management.reference.pages import render_pages


def run(directory: Path = Path("docs/ref")) -> None:
    """Writes the reference pages that are made from types, checks and commands.

    Args:
        directory: Where the pages go.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in render_pages().items():
        (directory / name).write_text(text)

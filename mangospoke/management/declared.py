"""Loading of declarations that a command is to publish or compare."""

import sys
from collections.abc import Sequence
from pathlib import Path

from mangospoke.checks.messages import has_errors
from mangospoke.checks.run import load_declarations, run_declarations_checks
from mangospoke.conf.sections import split_sections
from mangospoke.management.exits import CommandError, ExitCode


def load_sections(base: Path, overlays: Sequence[Path]) -> dict[str, bytes]:
    """Loads and checks a base with its overlays, and cuts it into sections.

    All faults are printed to standard error.

    Raises:
        CommandError: If there are errors.
    """
    declarations = load_declarations(base, overlays)
    messages = run_declarations_checks(declarations)
    for message in messages:
        print(message, file=sys.stderr)
    loaded_base = declarations.base.value
    loaded_overlays = [loaded.value for loaded in declarations.overlays]
    if loaded_base is None or has_errors(messages):
        raise CommandError(ExitCode.FAULTS_FOUND, "the files have errors")
    present = [overlay for overlay in loaded_overlays if overlay is not None]
    return split_sections(loaded_base, present)

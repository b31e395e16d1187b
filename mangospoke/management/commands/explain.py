"""`mangospoke explain`: tell from logs what became of a request."""

from pathlib import Path

from mangospoke.forensics.reading import read_logs
from mangospoke.forensics.story import tell
from mangospoke.management.exits import CommandError, ExitCode


def run(request_id: str, /, *files: Path) -> ExitCode:
    """Tells from the logs of many hosts what became of a request, and why.

    Args:
        request_id: The request's id.
        files: Log files of the hosts, in JSON lines; other lines are passed over.
    """
    try:
        lines = read_logs(files)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
    story = tell(request_id, lines)
    if not story.sentences:
        print(f"No line of these {len(lines)} names request {request_id}.")
        return ExitCode.FAULTS_FOUND
    for sentence in story.sentences:
        print(sentence)
    print(f"Cause: {story.cause or 'these logs do not say'}.")
    return ExitCode.OK if story.cause else ExitCode.FAULTS_FOUND

"""`mangospoke explain`: tell from logs what became of a request."""

from pathlib import Path

from mangospoke.forensics.explanation import explain_request
from mangospoke.forensics.log_reader import read_logs
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
    explanation = explain_request(request_id, lines)
    if not explanation.sentences:
        print(f"No line of these {len(lines)} names request {request_id}.")
        return ExitCode.FAULTS_FOUND
    for sentence in explanation.sentences:
        print(sentence)
    print(f"Cause: {explanation.cause or 'these logs do not say'}.")
    return ExitCode.OK if explanation.cause else ExitCode.FAULTS_FOUND

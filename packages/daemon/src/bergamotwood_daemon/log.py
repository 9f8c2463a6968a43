"""Structured logs: short sentences with a prefix for each part."""

from sys import stdout

from eliot import log_message, to_file, write_traceback


def open_log() -> None:
    """Write logs as JSON lines to standard output."""
    to_file(stdout)


def log_event(part: str, sentence: str, **fields: object) -> None:
    """Log one event of a part of the daemon."""
    log_message(message_type=part, message=f"{part}: {sentence}", **fields)


def log_failure(part: str, sentence: str, **fields: object) -> None:
    """Log the exception being handled, with its traceback."""
    log_event(part, sentence, **fields)
    write_traceback()

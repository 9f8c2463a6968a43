"""Structured logs: short messages, prefixed with the name of a component."""

from sys import stdout

from eliot import add_destinations, log_message, write_traceback

from bergamotwood_daemon.logwriter import LogWriter

_WRITER = LogWriter(stdout.buffer)


def open_log() -> None:
    """Write logs as JSON lines to standard output."""
    _WRITER.start()
    add_destinations(_WRITER)


def close_log() -> None:
    """Write the remaining lines and stop."""
    _WRITER.close()


def count_dropped_lines() -> int:
    """Return how many lines were dropped because the reader was too slow."""
    return _WRITER.dropped


def log_event(component: str, message: str, **fields: object) -> None:
    """Log one event of a component of the daemon."""
    log_message(message_type=component, message=f"{component}: {message}", **fields)


def log_failure(component: str, message: str, **fields: object) -> None:
    """Log the exception being handled, with its traceback."""
    log_event(component, message, **fields)
    write_traceback()

"""Whether what an HTTP server has sent is an answer that may be passed on.

A server in trouble may send a part of an answer, or bytes that only resemble one.
"""


def is_orderly_end(write_error: OSError | None) -> bool:
    """Whether the end of a connection's input was sent by the peer.

    A socket reports an error once. If a write of the request got it, the reader of the
    answer finds an end of the input instead of the error, and an answer without a
    length would seem complete. `EPIPE` is no such error: the input had ended before.

    Parameters
    ----------
    write_error : OSError or None
        Error of the writes to the same connection.
    """
    return write_error is None or isinstance(write_error, BrokenPipeError)

"""Whether what an HTTP server has sent is an answer that may be passed on.

A server in trouble may send a part of an answer, or bytes that only resemble one.
"""

from re import compile as compile_pattern

# HTTP/1.1 permits no other statuses (RFC 9110, section 15).
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
PROTOCOL = b"HTTP/1."
# A folded line (RFC 9112, section 5.2), which makes a field a part of the one before,
# or a control byte other than those that separate lines and words.
INVALID_BYTES = compile_pattern(rb"\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")


def find_head_fault(head: bytes, status: int) -> str | None:
    """Return what is wrong with the head of an answer; None if nothing is.

    It answers endpoints in trouble whose heads a lenient parser accepts.

    Parameters
    ----------
    head : bytes
        The head as it was received, or its first line, with nothing after it.
    status : int
        Its status.
    """
    if not head.startswith(PROTOCOL):
        return "not an answer of HTTP/1"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"invalid status {status}"
    if INVALID_BYTES.search(head):
        return "folded line or control byte in the head"
    return None


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

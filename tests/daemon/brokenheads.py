"""Heads of answers that no caller may get, and of answers that are sound.

Each is the first line and the fields, of which the last states the length.
"""

EVENTS = 100 * b"data: a\n\n"
STATUSES = [
    *(b"000", b"001", b"099", b"101", b"199", b"600", b"700", b"999"),
    *(b"20", b"2000", b"2x0", b"-20", b"+20", b"0200", b"", b"200."),
]
BROKEN_LINES = [
    *(b"HTTP/1.1 %b X" % status for status in STATUSES),
    *(b"HTTP/%b 200 OK" % version for version in (b"0.9", b"2.0", b"9.9", b"11")),
    *(b"ICY 200 OK", b"http/1.1 200 OK", b"HTTP/1.1  200 OK", b"HTTP/1.1 200 O\x01K"),
]
NAMES = [
    *(b"x y", b"x\ty", b"x ", b" x", b"\tx", b"", b"x(", b"x/", b"x\xe9"),
    *(b"x%by" % bytes([byte]) for byte in (0, 1, 8, 11, 12, 13, 27, 127)),
]
BROKEN_FIELDS = [
    *(b"a: b\r\n%b: c" % name for name in NAMES),
    *(b"a: b%bc" % bytes([byte]) for byte in (0, 1, 8, 11, 12, 13, 27, 127)),
    b"no colon",
]
LENGTH_FIELD = b"content-length: %d\r\n" % len(EVENTS)
BROKEN_HEADS = [
    *((line, LENGTH_FIELD) for line in BROKEN_LINES),
    *((b"HTTP/1.1 200 OK", field + b"\r\n" + LENGTH_FIELD) for field in BROKEN_FIELDS),
    # The length is hidden, so that the body seems to be all that follows.
    (b"HTTP/1.1 200 OK", b"a: b\r\n " + LENGTH_FIELD),
    (b"HTTP/1.1 200 OK", b"content-length: 1\r\n" + LENGTH_FIELD),
]
SOUND_HEADS = [
    (b"HTTP/1.1 200", LENGTH_FIELD),
    (b"HTTP/1.0 200 OK", LENGTH_FIELD),
    (b"HTTP/1.1 200 OK", b"a:\tb \t c\r\nd: \xc3\xa9\r\ne:\r\n" + LENGTH_FIELD),
]
INTERIM_LINES = b"HTTP/1.1 103 X\r\nlink: a\r\n\r\nHTTP/1.1 100 X\r\n\r\n"

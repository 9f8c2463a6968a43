from errno import ECONNRESET, EHOSTUNREACH, ENETUNREACH, EPIPE, ETIMEDOUT

import pytest

from bergamotwood_core.answers import find_head_fault, is_orderly_end


@pytest.mark.parametrize("number", [ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH])
def test_an_end_after_a_failed_write_is_not_orderly(number):
    assert not is_orderly_end(OSError(number, "failed"))


@pytest.mark.parametrize("error", [None, OSError(EPIPE, "closed by the peer")])
def test_an_end_that_the_peer_has_sent_is_orderly(error):
    assert is_orderly_end(error)


@pytest.mark.parametrize("status", [0, 1, 99, 600, 999, 2000])
def test_a_status_that_http_does_not_permit_is_a_fault(status):
    assert find_head_fault(b"HTTP/1.1 %03d X\r\n\r\n" % status, status)


@pytest.mark.parametrize("status", [100, 103, 200, 299, 304, 421, 503, 599])
def test_a_status_that_http_permits_is_no_fault(status):
    assert find_head_fault(b"HTTP/1.1 %d X\r\na: b\r\n\r\n" % status, status) is None


@pytest.mark.parametrize("version", [b"HTTP/0.9", b"HTTP/2.0", b"RTSP/1.0", b"ICY"])
def test_an_answer_of_another_protocol_is_a_fault(version):
    assert find_head_fault(version + b" 200 OK\r\n\r\n", 200)


@pytest.mark.parametrize("byte", [*range(9), 11, 12, *range(14, 32), 127])
@pytest.mark.parametrize("line", [b"a%b: c", b"a: c%bd", b"%ba: c"])
def test_a_control_byte_in_a_head_is_a_fault(byte, line):
    head = b"HTTP/1.1 200 OK\r\n" + line % bytes([byte]) + b"\r\n\r\n"
    assert find_head_fault(head, 200)


@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
@pytest.mark.parametrize("blank", [b" ", b"\t"])
def test_a_folded_line_in_a_head_is_a_fault(line_end, blank):
    lines = [b"HTTP/1.1 200 OK", b"a: b", blank + b"c: d", b"", b""]
    assert find_head_fault(line_end.join(lines), 200)


@pytest.mark.parametrize("line", [b"a:\tb \t c", b"a: \xe9\xff", b"a:", b"a: b\t"])
def test_blanks_and_high_bytes_in_a_value_are_no_fault(line):
    assert find_head_fault(b"HTTP/1.0 200\r\n" + line + b"\r\n\r\n", 200) is None

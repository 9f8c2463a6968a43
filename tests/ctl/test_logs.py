from click.testing import CliRunner
from msgspec import json

from bergamotctl.command import main


def write_log(path, *records):
    path.write_text("".join(json.encode(record).decode() + "\n" for record in records))
    return str(path)


def make_record(timestamp, message, **fields):
    return {
        "message": message,
        "message_type": message.partition(":")[0],
        "timestamp": timestamp,
        **fields,
    }


def run(*arguments, text=None):
    return CliRunner().invoke(main, arguments, input=text)


def test_explain_sorts_records_of_all_processes_by_time(tmp_path):
    first = write_log(
        tmp_path / "edge-1.log",
        make_record(12.0, "request: Failed.", request="q-1", status=502),
        make_record(11.0, "attempt: Attempt failed.", request="q-1", endpoint="e-1"),
        make_record(11.5, "request: Answered.", request="q-2"),
    )
    second = write_log(
        tmp_path / "edge-2.log",
        make_record(10.0, "request: Refused.", request="q-1", retry_after=0.3),
    )
    result = run("explain", "q-1", first, second)
    assert result.output.splitlines() == [
        "10.000 edge-2 request: Refused. retry_after=0.3",
        "11.000 edge-1 attempt: Attempt failed. endpoint=e-1",
        "12.000 edge-1 request: Failed. status=502",
    ]


def test_explain_fails_for_a_request_that_no_record_names(tmp_path):
    path = write_log(tmp_path / "a.log", make_record(1.0, "daemon: Started."))
    result = run("explain", "q-9", path)
    assert result.exit_code == 1
    assert "q-9: no line of the logs names this request" in result.output


def test_timeline_omits_request_records_and_reads_standard_input():
    text = "".join(
        f"  1.0 {source} {json.encode(record).decode()}\n"
        for source, record in (
            ("core-1", make_record(3.0, "control: Configuration applied.", number=7)),
            ("edge-1", make_record(2.0, "entry: Control lost.", replica="c:1")),
            ("edge-1", make_record(2.5, "request: Refused.", request="q-1")),
        )
    )
    result = run("timeline", text=text + "not a log line\n{cut")
    assert result.output.splitlines() == [
        "2.000 edge-1 entry: Control lost. replica=c:1",
        "3.000 core-1 control: Configuration applied. number=7",
    ]


def test_outcomes_counts_how_requests_ended_by_cause(tmp_path):
    path = write_log(
        tmp_path / "edge-1.log",
        make_record(1.0, "request: Answered.", status=200),
        make_record(1.1, "request: Answered.", status=200),
        make_record(1.2, "request: Answered.", status=500),
        make_record(1.3, "request: Refused.", status=503, code="OVERLOADED"),
        make_record(1.4, "request: Failed.", status=504, code="STREAM_SILENT"),
        make_record(1.5, "request: Caller disconnected."),
        make_record(1.6, "attempt: Attempt failed.", result="full"),
        make_record(1.7, "entry: Control lost."),
    )
    lines = run("outcomes", path).output.splitlines()
    assert lines[0].split() == ["2", "33.33", "%", "answered", "status", "200"]
    assert sorted(line.partition("%")[2].strip() for line in lines[1:]) == [
        "answered   the endpoint's own 500",
        "failed     STREAM_SILENT",
        "left       the caller closed the connection",
        "refused    OVERLOADED",
    ]


def test_outcomes_fails_without_a_line_that_ends_a_request(tmp_path):
    path = write_log(tmp_path / "a.log", make_record(1.0, "daemon: Started."))
    result = run("outcomes", path)
    assert result.exit_code == 1
    assert "no line of the logs ends a request" in result.output

from click.testing import CliRunner
from msgspec import json

from bergamotctl.command import main


def write(path, *lines):
    path.write_text("".join(json.encode(line).decode() + "\n" for line in lines))
    return str(path)


def make_line(at, message, **fields):
    return {
        "message": message,
        "message_type": message.partition(":")[0],
        "timestamp": at,
        **fields,
    }


def run(*arguments, text=None):
    return CliRunner().invoke(main, arguments, input=text)


def test_a_request_is_explained_in_order_over_all_processes(tmp_path):
    first = write(
        tmp_path / "edge-1.log",
        make_line(12.0, "request: Failed.", request="q-1", status=502),
        make_line(11.0, "attempt: Attempt failed.", request="q-1", endpoint="e-1"),
        make_line(11.5, "request: Answered.", request="q-2"),
    )
    second = write(
        tmp_path / "edge-2.log",
        make_line(10.0, "request: Refused.", request="q-1", retry_after=0.3),
    )
    result = run("explain", "q-1", first, second)
    assert result.output.splitlines() == [
        "10.000 edge-2 request: Refused. retry_after=0.3",
        "11.000 edge-1 attempt: Attempt failed. endpoint=e-1",
        "12.000 edge-1 request: Failed. status=502",
    ]


def test_an_unknown_request_is_a_clear_error(tmp_path):
    path = write(tmp_path / "a.log", make_line(1.0, "daemon: Started."))
    result = run("explain", "q-9", path)
    assert result.exit_code == 1
    assert "q-9: no line of the logs names this request" in result.output


def test_the_timeline_leaves_requests_out_and_reads_standard_input():
    text = "".join(
        f"  1.0 {source} {json.encode(line).decode()}\n"
        for source, line in (
            ("core-1", make_line(3.0, "control: Configuration applied.", number=7)),
            ("edge-1", make_line(2.0, "entry: Control lost.", replica="c:1")),
            ("edge-1", make_line(2.5, "request: Refused.", request="q-1")),
        )
    )
    result = run("timeline", text=text + "not a log line\n{cut")
    assert result.output.splitlines() == [
        "2.000 edge-1 entry: Control lost. replica=c:1",
        "3.000 core-1 control: Configuration applied. number=7",
    ]

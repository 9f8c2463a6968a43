from gevent import joinall, spawn, wait
from gevent.pywsgi import WSGIServer
from msgspec import json

from bergamotwood_core.messages import Announcement
from bergamotwood_core.states import EndpointState
from bergamotwood_fakes.record import Event, read_records


def start_service(start_fake, *options):
    return start_fake("service", "--id", "s1", "--service", "parcels", *options)


def test_payment_is_recorded_with_its_key(start_fake, tmp_path):
    records = tmp_path / "s1.jsonl"
    service = start_service(start_fake, "--records", str(records))
    key = {"Idempotency_Key": "k1"}
    status, body = service.call("POST", "/payments/7", b'{"amount": 3}', **key)
    assert status == 200
    assert json.decode(body)["receipt"].startswith("s1-")
    runs = read_records(records)
    assert [run.event for run in runs] == [Event.START, Event.END]
    assert {run.key for run in runs} == {"k1"}


def test_stopped_service_announces_leaving_and_finishes_requests(start_fake):
    announcements = []

    def accept_announcement(environ, start_response):
        body = environ["wsgi.input"].read()
        announcements.append(json.decode(body, type=Announcement))
        start_response("200 OK", [])
        return [b"{}"]

    entry = WSGIServer(("127.0.0.1", 0), accept_announcement, log=None)
    entry.start()
    address = f"127.0.0.1:{entry.server_port}"
    options = ("--entry", "127.0.0.1:1", "--entry", address, "--leave-seconds", "0")
    service = start_service(start_fake, *options, "--seconds", "0.5")
    call = spawn(service.call, "GET", "/availability/1")
    while not announcements or announcements[-1].load < 1:
        wait(timeout=0.02)
    service.process.terminate()
    joinall([call], timeout=10, raise_error=True)
    assert call.value[0] == 200
    while announcements[-1].state is not EndpointState.LEAVING:
        wait(timeout=0.02)
    assert service.process.wait(10) == 0
    sequences = [announcement.sequence for announcement in announcements]
    assert sequences == sorted(sequences)
    entry.stop()

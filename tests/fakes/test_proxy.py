from os import getpid

from gevent import Timeout, sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection, timeout
from msgspec import json
from pytest import fixture, raises

from bergamotwood_fakes.proxy import DIAL_SECONDS

HOST = "127.0.0.1"
WAIT_SECONDS = 5


def echo(connection, _):
    while data := connection.recv(4096):
        connection.sendall(data)


@fixture
def target():
    server = StreamServer((HOST, 0), echo)
    server.start()
    yield server.server_port
    server.stop()


@fixture
def proxy(start, target):
    process = start("proxy")
    address = {"host": HOST, "port": target}
    body = json.encode({"name": "echo", "address": address})
    answer = process.call("POST", "/targets", body)[1]
    process.target_port = json.decode(answer)["port"]
    return process


def dial(proxy):
    connection = create_connection((HOST, proxy.target_port), WAIT_SECONDS)
    connection.settimeout(WAIT_SECONDS)
    return connection


def talk(connection):
    connection.sendall(b"hello")
    return connection.recv(100)


def add_rule(proxy, **rule):
    status, body = proxy.call("POST", "/rules", json.encode(rule))
    assert status == 200
    return json.decode(body)["id"]


def is_silent(connection):
    connection.settimeout(0.3)
    with raises(timeout):
        talk(connection)
    return True


def test_bytes_pass_without_rules(proxy):
    assert talk(dial(proxy)) == b"hello"


def test_idle_connection_stays_open(proxy):
    idle = dial(proxy)
    sleep(DIAL_SECONDS + 0.2)
    assert talk(idle) == b"hello"


def test_silence_loses_bytes_while_new_connections_work(proxy):
    old = dial(proxy)
    assert talk(old) == b"hello"
    add_rule(proxy, action="silence", targets=["echo"])
    assert is_silent(old)
    assert talk(dial(proxy)) == b"hello"
    proxy.call("DELETE", "/rules")
    assert is_silent(old)


def test_silence_can_take_new_connections_too(proxy):
    add_rule(proxy, action="silence", targets=["echo"], new_too=True)
    assert is_silent(dial(proxy))


def test_cut_closes_and_refuses_until_lifted(proxy):
    old = dial(proxy)
    assert talk(old) == b"hello"
    number = add_rule(proxy, action="cut", targets=["echo"])
    assert old.recv(100) == b""
    assert dial(proxy).recv(100) == b""
    proxy.call("DELETE", f"/rules/{number}")
    assert talk(dial(proxy)) == b"hello"


def test_half_open_tells_the_source_nothing(proxy):
    old = dial(proxy)
    assert talk(old) == b"hello"
    add_rule(proxy, action="half_open", targets=["echo"])
    assert is_silent(old)


def test_partition_holds_bytes_and_names_the_source(proxy):
    process = json.encode({"name": "me", "pid": getpid()})
    proxy.call("POST", "/processes", process)
    connection = dial(proxy)
    add_rule(proxy, action="partition", sources=["echo"], targets=["other"])
    assert talk(connection) == b"hello"
    add_rule(proxy, action="partition", sources=["echo"], targets=["me"])
    assert is_silent(connection)
    connection.settimeout(WAIT_SECONDS)
    answer = spawn(connection.recv, 100)
    proxy.call("DELETE", "/rules")
    with Timeout(WAIT_SECONDS):
        assert answer.get() == b"hello"

from os import getpid

from gevent import Timeout, sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection, timeout
from msgspec import json
from pytest import fixture, raises

from bergamotwood_fakes.proxy import CONNECT_TIMEOUT_SECONDS

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 5


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
def proxy(start_fake, target):
    process = start_fake("proxy")
    address = {"host": HOST, "port": target}
    body = json.encode({"name": "echo", "address": address})
    answer = process.call("POST", "/targets", body)[1]
    process.target_port = json.decode(answer)["port"]
    return process


def connect(proxy):
    connection = create_connection((HOST, proxy.target_port), TIMEOUT_SECONDS)
    connection.settimeout(TIMEOUT_SECONDS)
    return connection


def exchange_hello(connection):
    connection.sendall(b"hello")
    return connection.recv(100)


def add_rule(proxy, **rule):
    status, body = proxy.call("POST", "/rules", json.encode(rule))
    assert status == 200
    return json.decode(body)["id"]


def gets_no_answer(connection):
    connection.settimeout(0.3)
    with raises(timeout):
        exchange_hello(connection)
    return True


def test_bytes_pass_without_rules(proxy):
    assert exchange_hello(connect(proxy)) == b"hello"


def test_idle_connection_stays_open(proxy):
    idle = connect(proxy)
    sleep(CONNECT_TIMEOUT_SECONDS + 0.2)
    assert exchange_hello(idle) == b"hello"


def test_silence_discards_bytes_of_open_connections_only(proxy):
    old = connect(proxy)
    assert exchange_hello(old) == b"hello"
    add_rule(proxy, action="silence", targets=["echo"])
    assert gets_no_answer(old)
    assert exchange_hello(connect(proxy)) == b"hello"
    proxy.call("DELETE", "/rules")
    assert gets_no_answer(old)


def test_silence_with_new_too_affects_new_connections(proxy):
    add_rule(proxy, action="silence", targets=["echo"], new_too=True)
    assert gets_no_answer(connect(proxy))


def test_cut_closes_open_and_refuses_new_connections_until_removed(proxy):
    old = connect(proxy)
    assert exchange_hello(old) == b"hello"
    number = add_rule(proxy, action="cut", targets=["echo"])
    assert old.recv(100) == b""
    assert connect(proxy).recv(100) == b""
    proxy.call("DELETE", f"/rules/{number}")
    assert exchange_hello(connect(proxy)) == b"hello"


def test_half_open_leaves_the_source_side_open_and_silent(proxy):
    old = connect(proxy)
    assert exchange_hello(old) == b"hello"
    add_rule(proxy, action="half_open", targets=["echo"])
    assert gets_no_answer(old)


def test_partition_of_a_named_source_holds_bytes_until_removed(proxy):
    process = json.encode({"name": "me", "pid": getpid()})
    proxy.call("POST", "/processes", process)
    connection = connect(proxy)
    add_rule(proxy, action="partition", sources=["echo"], targets=["other"])
    assert exchange_hello(connection) == b"hello"
    add_rule(proxy, action="partition", sources=["echo"], targets=["me"])
    assert gets_no_answer(connection)
    connection.settimeout(TIMEOUT_SECONDS)
    answer = spawn(connection.recv, 100)
    proxy.call("DELETE", "/rules")
    with Timeout(TIMEOUT_SECONDS):
        assert answer.get() == b"hello"

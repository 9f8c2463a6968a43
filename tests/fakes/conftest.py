from contextlib import ExitStack
from signal import SIGKILL

from geventhttpclient import HTTPClient
from pytest import fixture

from bergamotwood_fakes.launch import launch_module, read_start_message

HOST = "127.0.0.1"
STOP_SECONDS = 10


class FakeProcess:
    def __init__(self, module, *options):
        self.process = launch_module(f"bergamotwood_fakes.{module}", list(options))
        self.port = read_start_message(self.process).port

    def call(self, method, path, body=b"", **headers):
        client = HTTPClient(HOST, self.port)
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        response = client.request(method, path, body=body, headers=fields)
        return response.status_code, bytes(response.read())

    def stop(self):
        self.process.terminate()
        return self.process.wait(STOP_SECONDS)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.send_signal(SIGKILL)
        self.process.wait()
        self.process.stdout.close()


@fixture
def start_fake():
    with ExitStack() as stack:
        yield lambda *options: stack.enter_context(FakeProcess(*options))

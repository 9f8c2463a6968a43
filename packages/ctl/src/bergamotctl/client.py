"""HTTP client for the operators' interface of an entry."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode, urlsplit

from click import UsageError
from gevent.ssl import PROTOCOL_TLS_CLIENT, SSLContext
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError, HTTPResponse
from msgspec import DecodeError
from msgspec.json import decode

from bergamotwood_core.answers import find_head_fault
from bergamotwood_core.errors import AnswerError, Code, UnreachableError

# The read timeout limits the time without a byte of the response.
CONNECT_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 15.0
ENTRIES_VARIABLE = "BERGAMOTWOOD_ENTRIES"
KEY_VARIABLE = "BERGAMOTWOOD_OPERATOR_KEY"
DEFAULT_PORTS = {"http": 80, "https": 443}


@dataclass(frozen=True)
class Client:
    """Sends a request to the entries in turn until one responds.

    If a response is lost, an entry may have carried out a request that the next
    entry receives again. This is safe: reads change nothing, a ticket with the
    same number is not applied twice, and a drain request goes to one entry only.

    Parameters
    ----------
    entries : tuple of str
        `host:port`, or a URL with `http` or `https`.
    key : str
        The operator's key.
    operator : str
        Name that is stored with a ticket.
    ca_file : str or None
        Certificates to trust for `https`.
    """

    entries: tuple[str, ...]
    key: str
    operator: str = ""
    ca_file: str | None = None

    def get(self, path: str, **parameters: object) -> Any:
        """Send a GET request and return the JSON document of the response.

        Raises
        ------
        AnswerError, UnreachableError, UsageError
            As for `post`.
        """
        given = {name: value for name, value in parameters.items() if value}
        query = f"?{urlencode(given)}" if given else ""
        return self._request("GET", path + query, b"")

    def post(self, path: str, body: bytes = b"") -> Any:
        """Send a body and return the JSON document of the response.

        Raises
        ------
        AnswerError
            The entry rejected the request.
        UnreachableError
            No entry responded.
        UsageError
            No entry is named or no key is given.
        """
        return self._request("POST", path, body)

    def _request(self, method: str, path: str, body: bytes) -> Any:
        if not self.entries:
            raise UsageError(f"name an entry with --entry or {ENTRIES_VARIABLE}")
        if not self.key:
            raise UsageError(f"give a key with --key-file or {KEY_VARIABLE}")
        failures = []
        for entry in self.entries:
            try:
                status, content = self._send(entry, method, path, body)
            except (OSError, ValueError, HTTPParseError) as error:
                failures.append(f"{entry}: {error or type(error).__name__}")
                continue
            return _parse_response(entry, status, content)
        raise UnreachableError("; ".join(failures))

    def _send(
        self, entry: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        url = urlsplit(entry if "://" in entry else f"http://{entry}")
        if url.scheme not in DEFAULT_PORTS or not url.hostname:
            raise ValueError("must be host:port or a URL")
        client = HTTPClient(
            url.hostname,
            url.port or DEFAULT_PORTS[url.scheme],
            connection_timeout=CONNECT_TIMEOUT_SECONDS,
            network_timeout=READ_TIMEOUT_SECONDS,
            ssl=url.scheme == "https",
            ssl_options={"ca_certs": self.ca_file} if self.ca_file else None,
            ssl_context_factory=_make_ssl_context,
        )
        try:
            response = client.request(method, path, body, self._make_headers())
            _check_head(response)
            return response.status_code, bytes(response.read())
        finally:
            client.close()

    def _make_headers(self) -> Mapping[str, str]:
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/octet-stream",
            "Connection": "close",
        }
        if self.operator:
            headers["Bergamotwood-Operator"] = self.operator
        return headers


def _make_ssl_context(cafile: str) -> SSLContext:
    """Return a context whose sockets let other greenlets run while they wait."""
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cafile)
    return context


def _check_head(response: HTTPResponse) -> None:
    """Check the first line of a response, of which the parser accepts too much.

    Raises
    ------
    ValueError
        When no entry sends such a line.
    """
    status = response.status_code
    line = f"{response.version} {status} {response.status_message or ''}"
    fault = find_head_fault(line.encode("latin-1", "replace"), status)
    if fault is not None:
        raise ValueError(fault)


def _parse_response(entry: str, status: int, content: bytes) -> Any:
    try:
        document = decode(content)
    except DecodeError:
        document = None
    if status < 300 and document is not None:
        return document
    problem = document if isinstance(document, dict) else {}
    detail = problem.get("detail") or f"answered with HTTP status {status}"
    raise AnswerError(
        f"{entry}: {detail}",
        _parse_error_code(problem),
        status,
        tuple(map(str, problem.get("faults", ()))),
    )


def _parse_error_code(problem: Mapping[str, Any]) -> Code:
    try:
        return Code(problem.get("code"))
    except ValueError:
        return Code.INTERNAL

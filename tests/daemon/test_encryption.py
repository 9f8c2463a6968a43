from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from os import utime

import pytest
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric.ec import SECP256R1, generate_private_key
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID
from gevent.pywsgi import WSGIServer
from gevent.socket import create_connection
from gevent.ssl import PROTOCOL_TLS_CLIENT, SSLContext, SSLError

from bergamotwood_core.errors import SettingsError
from bergamotwood_daemon.encryption import ServerEncryption
from bergamotwood_daemon.settings import Tls


class Authority:
    """Signs certificates for loopback."""

    def __init__(self, folder):
        self.folder = folder
        self.key = generate_private_key(SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
        certificate = self._sign(self.name, self.key, None)
        self.file = folder / "authority.pem"
        self.file.write_bytes(certificate.public_bytes(Encoding.PEM))

    def issue(self, serial):
        """Write a certificate and its key, and return their files."""
        key = generate_private_key(SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "entry")])
        certificate = self._sign(name, key, serial)
        tls = Tls(certificate=self.folder / "cert.pem", key=self.folder / "key.pem")
        tls.certificate.write_bytes(certificate.public_bytes(Encoding.PEM))
        tls.key.write_bytes(
            key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        )
        # A reload compares modification times, which may be equal for quick writes.
        for path in (tls.certificate, tls.key):
            utime(path, ns=(serial * 10**9, serial * 10**9))
        return tls

    def _sign(self, name, key, serial):
        now = datetime.now(UTC)
        names = x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))])
        return (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(serial or x509.random_serial_number())
            .not_valid_before(now - timedelta(hours=1))
            .not_valid_after(now + timedelta(hours=1))
            .add_extension(names, critical=False)
            .add_extension(x509.BasicConstraints(serial is None, None), critical=True)
            .sign(self.key, SHA256())
        )


def answer(environ, start_response):
    start_response("200 OK", [])
    return [b"ok"]


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


@pytest.fixture
def serve():
    servers = []

    def start(encryption):
        server = WSGIServer(
            ("127.0.0.1", 0), answer, log=None, ssl_context=encryption.context
        )
        server.start()
        servers.append(server)
        return server.server_port

    yield start
    for server in servers:
        server.stop(timeout=0)


def read_serial(port, authority):
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(authority.file)
    sock = create_connection(("127.0.0.1", port), timeout=5.0)
    with context.wrap_socket(sock, server_hostname="127.0.0.1") as tls_sock:
        der = tls_sock.getpeercert(binary_form=True)
    return x509.load_der_x509_certificate(der).serial_number


def test_new_connections_use_changed_files_without_a_restart(authority, serve):
    encryption = ServerEncryption(authority.issue(1))
    port = serve(encryption)
    assert read_serial(port, authority) == 1
    assert not encryption.reload_if_changed()
    authority.issue(2)
    assert encryption.reload_if_changed()
    assert read_serial(port, authority) == 2


def test_invalid_files_leave_the_previous_certificate_in_use(authority, serve):
    tls = authority.issue(1)
    encryption = ServerEncryption(tls)
    port = serve(encryption)
    tls.certificate.write_bytes(b"not a certificate")
    assert not encryption.reload_if_changed()
    assert read_serial(port, authority) == 1


def test_caller_that_trusts_another_authority_rejects_the_certificate(
    authority, serve, tmp_path
):
    port = serve(ServerEncryption(authority.issue(1)))
    (tmp_path / "other").mkdir()
    with pytest.raises(SSLError):
        read_serial(port, Authority(tmp_path / "other"))


def test_missing_key_file_is_a_settings_error(authority, tmp_path):
    tls = authority.issue(1)
    tls.key.unlink()
    with pytest.raises(SettingsError):
        ServerEncryption(tls)

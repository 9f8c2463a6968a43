"""TLS with certificates from files, which are reloaded when they change."""

from pathlib import Path

import grpc
from gevent.ssl import CERT_REQUIRED, PROTOCOL_TLS_SERVER, SSLContext, SSLError

from bergamotwood_core.errors import SettingsError
from bergamotwood_daemon.log import log_event
from bergamotwood_daemon.settings import Tls


def _read_modification_times(tls: Tls) -> tuple[int, ...]:
    paths = (tls.certificate, tls.key, tls.authority)
    return tuple(path.stat().st_mtime_ns for path in paths if path is not None)


class ServerEncryption:
    """TLS of the HTTP server; new connections use the newest files.

    Parameters
    ----------
    tls : Tls
        Paths of the certificate files.

    Raises
    ------
    SettingsError
        When the files cannot be loaded.
    """

    def __init__(self, tls: Tls) -> None:
        self.context = SSLContext(PROTOCOL_TLS_SERVER)
        self._tls = tls
        try:
            self._modification_times = _read_modification_times(tls)
            self._load()
        except (OSError, SSLError) as error:
            raise SettingsError(f"tls: {error}") from error

    def reload_if_changed(self) -> bool:
        """Load the files if they changed; return whether new ones were loaded.

        Files that cannot be loaded leave the previous certificate in use.
        """
        try:
            modification_times = _read_modification_times(self._tls)
            if modification_times == self._modification_times:
                return False
            self._modification_times = modification_times
            self._load()
        except (OSError, SSLError) as error:
            log_event("tls", "Cannot load changed files.", detail=str(error))
            return False
        log_event("tls", "Certificate files reloaded.")
        return True

    def _load(self) -> None:
        self.context.load_cert_chain(self._tls.certificate, self._tls.key)
        if self._tls.authority is not None:
            self.context.load_verify_locations(self._tls.authority)
            self.context.verify_mode = CERT_REQUIRED


class PeerEncryption:
    """Mutual TLS between instances, from files that may change.

    Parameters
    ----------
    tls : Tls
        Paths of the files; the authority must have signed both certificates.
    """

    def __init__(self, tls: Tls) -> None:
        self._tls = tls
        self._modification_times = _read_modification_times(tls)

    def make_channel_credentials(self) -> grpc.ChannelCredentials:
        """Read the files for one new channel."""
        return grpc.ssl_channel_credentials(
            _read_file(self._tls.authority),
            _read_file(self._tls.key),
            _read_file(self._tls.certificate),
        )

    def make_server_credentials(self) -> grpc.ServerCredentials:
        """Make credentials that check for changed files at each handshake."""
        return grpc.dynamic_ssl_server_credentials(
            self._make_configuration(),
            self._fetch_configuration,
            require_client_authentication=True,
        )

    def _fetch_configuration(self) -> grpc.ServerCertificateConfiguration | None:
        modification_times = _read_modification_times(self._tls)
        if modification_times == self._modification_times:
            return None
        self._modification_times = modification_times
        return self._make_configuration()

    def _make_configuration(self) -> grpc.ServerCertificateConfiguration:
        pair = (_read_file(self._tls.key), _read_file(self._tls.certificate))
        return grpc.ssl_server_certificate_configuration(
            [pair], _read_file(self._tls.authority)
        )


def _read_file(path: Path | None) -> bytes | None:
    return path.read_bytes() if path is not None else None

"""Restarts a broken stream from its first event and forwards every event again."""

from soak.variants import run_patched


def change():
    from bergamotwood_daemon.gateway import streams

    def accept_every_event(event, last):
        return True

    streams._is_after = accept_every_event
    from bergamotwood_platform import dialect, headers

    write_endpoint_headers = headers.write_endpoint_headers

    def write_from_start(fields, metadata):
        written = write_endpoint_headers(fields, metadata)
        return [item for item in written if item[0] != headers.LAST_EVENT]

    headers.write_endpoint_headers = write_from_start
    dialect.write_endpoint_headers = write_from_start


if __name__ == "__main__":
    run_patched(change)

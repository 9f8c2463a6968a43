"""Checks across the fields of a settings document, before it becomes a model."""

from collections.abc import Iterator, Mapping
from ipaddress import ip_address
from typing import Any

SECRET_FIELDS = ("instance_key", "session_secret", "order_key")
# Defaults of the settings model, for fields that the document leaves out.
DEFAULT_DRAIN_SECONDS = 6.0
DEFAULT_TTL_SECONDS = 5


def find_cross_field_faults(document: Any) -> Iterator[str]:
    """Find the faults that concern more than one field.

    Missing fields and wrong types are ignored here, since the model reports them.

    Parameters
    ----------
    document : Any
        Content of the YAML file.

    Yields
    ------
    str
        Key, value and what is allowed.
    """
    if not isinstance(document, Mapping):
        return
    yield from _check_control(document)
    yield from _check_replicas(document)
    yield from _check_plaintext_listeners(document)
    yield from _check_peer_tls(document)
    yield from _check_secrets(document)
    yield from _check_drain(document)


def _check_control(document: Mapping[str, Any]) -> Iterator[str]:
    if "control" not in _list_items(document, "roles"):
        return
    if not document.get("data_folder"):
        yield "data_folder: is required by the role control"
    names = [_get_value(item, "id") for item in _list_items(document, "replicas")]
    if document.get("instance") not in names:
        yield (
            f"replicas: must name this instance, {document.get('instance')!r}, "
            "which has the role control"
        )


def _check_replicas(document: Mapping[str, Any]) -> Iterator[str]:
    replicas = _list_items(document, "replicas")
    names = [str(_get_value(item, "id")) for item in replicas]
    addresses = [
        (_get_value(item, "host"), _get_value(item, "port")) for item in replicas
    ]
    for index, (name, address) in enumerate(zip(names, addresses, strict=True)):
        if name in names[:index]:
            yield f"replicas[{index}].id: {name!r} occurs twice"
        if address in addresses[:index]:
            yield f"replicas[{index}]: address {address[0]}:{address[1]} occurs twice"
    roles = _list_items(document, "roles")
    if document.get("instance") in names and roles and "control" not in roles:
        yield "roles: must have control, since replicas names this instance"


def _check_plaintext_listeners(document: Mapping[str, Any]) -> Iterator[str]:
    if document.get("allow_plain") is True:
        return
    for name, tls in (("listen", "tls"), ("peer_listen", "peer_tls")):
        host = _get_value(document.get(name), "host")
        if _is_beyond_loopback(host) and not document.get(tls):
            yield (
                f"{name}.host: {host!r} without encryption; must be a loopback "
                f"address, or set {tls}, or allow_plain: true"
            )


def _check_peer_tls(document: Mapping[str, Any]) -> Iterator[str]:
    tls = document.get("peer_tls")
    if tls and not _get_value(tls, "authority"):
        yield "peer_tls.authority: is required, since instances authenticate each other"


def _check_secrets(document: Mapping[str, Any]) -> Iterator[str]:
    seen: dict[str, str] = {}
    for name in SECRET_FIELDS:
        secret = document.get(name)
        if not isinstance(secret, str) or not secret:
            continue
        first = seen.setdefault(secret, name)
        if first != name:
            yield f"{name}: must differ from {first}"
    operators = _list_items(document, "operator_key_hashes")
    endpoints = _list_items(document, "endpoint_key_hashes")
    if any(item in operators for item in endpoints):
        yield "endpoint_key_hashes: must differ from operator_key_hashes"


def _check_drain(document: Mapping[str, Any]) -> Iterator[str]:
    drain = _get_value(document.get("timeouts"), "drain", DEFAULT_DRAIN_SECONDS)
    ttl = document.get("address_ttl_seconds", DEFAULT_TTL_SECONDS)
    if not isinstance(drain, int | float) or not isinstance(ttl, int | float):
        return
    if drain < ttl:
        yield (
            f"timeouts.drain: {drain!r} must be at least address_ttl_seconds, "
            f"{ttl!r}, since callers keep an address for that long"
        )


def _is_beyond_loopback(host: object) -> bool:
    if not isinstance(host, str):
        return False
    try:
        return not ip_address(host).is_loopback
    except ValueError:
        return False


def _get_value(section: object, name: str, default: object = None) -> Any:
    return section.get(name, default) if isinstance(section, Mapping) else default


def _list_items(document: Mapping[str, Any], name: str) -> list[Any]:
    items = document.get(name)
    return list(items) if isinstance(items, list | tuple) else []

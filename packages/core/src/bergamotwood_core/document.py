"""Strict reading of hand-written YAML and JSON documents."""

import json
from collections.abc import Iterator
from typing import Any

from pydantic import ValidationError
from yaml import MappingNode, Node, SequenceNode, YAMLError

try:
    from yaml import CSafeLoader as SafeLoader
except ImportError:
    from yaml import SafeLoader

# Maximum bytes of a document.
MAX_DOCUMENT_BYTES = 1_048_576
# Maximum number of faults that are listed.
MAX_FAULTS = 100


class DocumentError(ValueError):
    """A document that cannot be read.

    Parameters
    ----------
    faults : tuple of str
        Each fault, with its line where known.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def load_document(text: str | bytes, limit: int = MAX_DOCUMENT_BYTES) -> Any:
    """Read one YAML or JSON document.

    Duplicate keys and YAML aliases are faults, so that a document means what its
    reader sees.

    Parameters
    ----------
    text : str or bytes
        The document; bytes are UTF-8.
    limit : int
        Maximum size in bytes.

    Returns
    -------
    Any
        Mappings, sequences and scalars.

    Raises
    ------
    DocumentError
        If the document cannot be read.
    """
    content = text.encode() if isinstance(text, str) else text
    if len(content) > limit:
        raise DocumentError((f"document: {len(content)} bytes, at most {limit}",))
    try:
        decoded = content.decode()
    except UnicodeDecodeError as error:
        raise DocumentError((f"document: not UTF-8 at byte {error.start}",))
    try:
        return _load_decoded(decoded)
    except RecursionError:
        raise DocumentError(("document: nested too deeply",))


def list_faults(error: ValidationError) -> tuple[str, ...]:
    """Describe each error of a validation with its place and value.

    Parameters
    ----------
    error : ValidationError
        Error raised by pydantic.

    Returns
    -------
    tuple of str
        `place: what is allowed (got value)`, at most `MAX_FAULTS`.
    """
    details = error.errors(include_url=False, include_context=False)
    return tuple(_describe_fault(detail) for detail in details[:MAX_FAULTS])


def format_place(location: tuple[int | str, ...]) -> str:
    """Format a location as `models[0].versions[1].id`."""
    place = ""
    for part in location:
        place += f"[{part}]" if isinstance(part, int) else f".{part}"
    return place.lstrip(".") or "document"


def _describe_fault(detail: Any) -> str:
    place = format_place(detail["loc"])
    if detail["type"] == "missing":
        return f"{place}: is required"
    if detail["type"] == "extra_forbidden":
        return f"{place}: unknown field"
    return f"{place}: {detail['msg']} (got {_shorten(detail['input'])})"


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def _load_decoded(text: str) -> Any:
    if text.lstrip().startswith("{"):
        try:
            return json.loads(text, object_pairs_hook=_build_mapping)
        except json.JSONDecodeError:
            pass
    return _load_yaml(text)


def _build_mapping(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    joined = dict(pairs)
    if len(joined) == len(pairs):
        return joined
    names = [name for name, _ in pairs]
    repeated = sorted({name for name in names if names.count(name) > 1})
    raise DocumentError(tuple(f"key {name!r} stands twice" for name in repeated))


def _load_yaml(text: str) -> Any:
    try:
        loader = SafeLoader(text)
    except YAMLError as error:
        raise DocumentError((f"document: {_join_lines(error)}",))
    try:
        root = loader.get_single_node()
        if root is None:
            return None
        faults = tuple(_find_node_faults(root))
        if faults:
            raise DocumentError(faults[:MAX_FAULTS])
        return loader.construct_document(root)
    except (YAMLError, ValueError, TypeError) as error:
        if isinstance(error, DocumentError):
            raise
        raise DocumentError((f"document: {_join_lines(error)}",))
    finally:
        loader.dispose()


def _join_lines(error: Exception) -> str:
    return " ".join(str(error).split())


def _find_node_faults(root: Node) -> Iterator[str]:
    seen: set[int] = set()
    pending = [root]
    while pending:
        node = pending.pop()
        if id(node) in seen:
            yield f"line {node.start_mark.line + 1}: aliases are not allowed"
            continue
        seen.add(id(node))
        if isinstance(node, SequenceNode):
            pending.extend(reversed(node.value))
        if isinstance(node, MappingNode):
            yield from _find_repeated_keys(node)
            pending.extend(value for _, value in reversed(node.value))


def _find_repeated_keys(node: MappingNode) -> Iterator[str]:
    seen: set[str] = set()
    for key, _ in node.value:
        name = str(key.value)
        if name in seen:
            yield f"line {key.start_mark.line + 1}: key {name!r} stands twice"
        seen.add(name)

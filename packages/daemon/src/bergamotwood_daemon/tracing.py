"""Traces: a span for each hop, in the caller's trace, exported as OTLP JSON."""

from collections.abc import Sequence
from pathlib import Path

from google.protobuf.json_format import MessageToJson
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from bergamotwood_daemon.web import WebRequest

TRACE_PARENT = "traceparent"
TRACE_STATE = "tracestate"
_PROPAGATOR = TraceContextTextMapPropagator()


class FileExporter(SpanExporter):
    """Writes batches of spans to a file, one OTLP JSON document a line.

    Parameters
    ----------
    path : Path
        The file; lines are added at its end.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one batch."""
        document = MessageToJson(encode_spans(spans), indent=None)
        self._file.write(document + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


def make_tracer_provider(instance: str, path: Path | None) -> TracerProvider:
    """Make the tracer provider; without a file, spans are not exported."""
    resource = Resource(
        {"service.name": "bergamotwood", "service.instance.id": instance}
    )
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    if path is not None:
        provider.add_span_processor(BatchSpanProcessor(FileExporter(path)))
    return provider


class Trace:
    """The spans of one request.

    Parameters
    ----------
    tracer : Tracer
        Source of spans.
    request : WebRequest
        The request, whose header fields may name the caller's trace.
    name : str
        Name of the root span.
    """

    def __init__(self, tracer: Tracer, request: WebRequest, name: str) -> None:
        carrier = {
            field: value
            for field in (TRACE_PARENT, TRACE_STATE)
            if (value := request.read_header(field))
        }
        self._tracer = tracer
        self._root = tracer.start_span(name, _PROPAGATOR.extract(carrier, Context()))
        self._context = set_span_in_context(self._root, Context())

    def annotate(self, **attributes: str | int | float | bool) -> None:
        """Add attributes to the root span."""
        self._root.set_attributes(attributes)

    def start_span(self, name: str, **attributes: str | int | float | bool) -> Span:
        """Start a child of the root span; the caller ends it."""
        return self._tracer.start_span(name, self._context, attributes=attributes)

    def end(self) -> None:
        """End the root span; a second call has no effect."""
        if self._root.is_recording():
            self._root.end()


def format_parent(span: Span) -> str:
    """Return the trace context that makes a span the parent in the next hop."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span, Context()))
    return carrier.get(TRACE_PARENT, "")

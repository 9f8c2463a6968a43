"""Sizes and traffic of the users' streaming deployments, from their data sheets."""

from dataclasses import dataclass

from benchmarks.batching import BatchingSettings
from bergamotwood_core.ids import ModelName

SMALL, MIDDLE, LARGE = MODELS = tuple(ModelName(name) for name in "sml")


@dataclass(frozen=True)
class RequestKind:
    """One kind of request; lengths are lognormal, up to a cap.

    Parameters
    ----------
    rate : float
        Requests per second.
    events, events_spread : float
        Mean number of events of an answer, and standard deviation of its logarithm.
    own_tokens, shared_tokens : float
        Mean tokens of the prompt's own part and of its shared prefix.
    shared_prefixes : int
        Number of different shared prefixes.
    objective, event_gap : float
        Maximum seconds until the first event and between two events; an answer that
        exceeds one of them is late.
    deadline : float
        Seconds after which an unfinished request fails.
    value : float
        Value of a good answer in time to a prompt of mean length.
    priority : int
        Priority; 0 is the most urgent.
    """

    name: str
    rate: float
    events: float
    events_spread: float
    own_tokens: float
    shared_tokens: float
    shared_prefixes: int
    objective: float
    deadline: float
    event_gap: float
    value: float
    priority: int = 0


@dataclass(frozen=True)
class Site:
    """Sizes and traffic of a deployment.

    Parameters
    ----------
    entries, engines : int
        Numbers of entries and engines.
    engine : BatchingSettings
        Speed and size of an engine.
    kinds : tuple of RequestKind
        Kinds of requests.
    speeds : tuple of float
        Relative speeds of the engines, assigned in turn.
    """

    entries: int
    engines: int
    engine: BatchingSettings
    kinds: tuple[RequestKind, ...]
    speeds: tuple[float, ...] = (1.0,)


def make_site(
    entries: int,
    engines: int,
    step: tuple[float, float, float],
    memory: int,
    event_tokens: int,
    kinds: tuple[RequestKind, ...],
    slots: int = 64,
    speeds: tuple[float, ...] = (1.0,),
) -> Site:
    """Make a site.

    `step` holds the fixed time of an engine's step in ms, the time added for each
    decoding request in ms, and the prefill rate in tokens per ms; `memory` is the
    engine's memory in tokens.
    """
    base, slot, rate = step
    settings = BatchingSettings(
        slots=slots,
        step_seconds=base / 1e3,
        request_step_seconds=slot / 1e3,
        prefill_rate=rate * 1e3,
        chunk_tokens=2048,
        memory_tokens=memory,
        event_tokens=event_tokens,
        prefill_slowdowns={SMALL: 0.3, MIDDLE: 0.8, LARGE: 3.0},
    )
    return Site(entries, engines, settings, kinds, speeds)


SITES = {
    "colofn-grown": make_site(
        59,
        70,
        (4.63, 0.1, 37.9),
        362_489,
        5,
        (
            RequestKind("adapt", 67.8, 24, 1.4, 3720, 13_300, 645, 4.0, 15.0, 2.0, 2.8),
            RequestKind("pitch", 27.5, 10, 1.4, 2890, 6300, 590, 3.0, 10.0, 2.0, 2.5),
            RequestKind(
                "headline", 66.2, 34, 0.89, 1110, 350, 630, 2.0, 20.0, 2.0, 0.39
            ),
        ),
    ),
    "kubwa-grown": make_site(
        91,
        30,
        (6.55, 0.165, 62.4),
        588_575,
        3,
        (
            RequestKind("guide", 34.7, 40, 1.4, 3720, 13_300, 497, 4.0, 25.0, 1.0, 2.9),
            RequestKind("digest", 16.2, 17, 1.4, 2890, 6300, 232, 3.0, 12.0, 1.0, 2.3),
            RequestKind("note", 33.4, 57, 0.89, 1110, 350, 716, 2.0, 25.0, 1.0, 0.41),
        ),
    ),
    "kubwa-large": make_site(
        195,
        39,
        (6.55, 0.165, 62.4),
        588_495,
        2,
        (
            RequestKind("guide", 45.2, 60, 1.4, 3720, 13_300, 648, 4.0, 25.4, 0.8, 2.9),
            RequestKind("digest", 21.1, 26, 1.4, 2890, 6300, 300, 3.0, 12.2, 0.8, 2.3),
            RequestKind("note", 43.6, 86, 0.89, 1110, 350, 936, 2.0, 25.3, 0.8, 0.41),
        ),
    ),
    "aorf-grown": make_site(
        84,
        45,
        (4.23, 0.1, 64.2),
        567_295,
        5,
        (
            RequestKind(
                "dossier", 39.5, 24, 1.6, 3720, 13_300, 961, 3.0, 15.0, 1.0, 3.7
            ),
            RequestKind("batch", 33.5, 10, 1.6, 2890, 6300, 361, 2.0, 10.0, 1.0, 2.8),
            RequestKind("query", 86.6, 34, 1.5, 1110, 350, 937, 1.5, 20.0, 1.0, 0.29),
        ),
        speeds=(0.7, 0.7, 1.7),
    ),
    "limpo-grown": make_site(
        65,
        70,
        (6.45, 0.1, 56.1),
        500_375,
        4,
        (
            RequestKind(
                "calendar", 51.5, 30, 1.6, 3720, 13_300, 961, 6.0, 20.0, 1.0, 1.2
            ),
            RequestKind("notice", 67.3, 13, 1.6, 2890, 6300, 361, 2.0, 10.0, 1.0, 3.8),
            RequestKind(
                "question", 41.2, 43, 1.5, 1110, 350, 937, 2.0, 25.0, 1.0, 0.43
            ),
        ),
        slots=24,
        speeds=(1.0, 1.0, 1.3),
    ),
    "kubwa": make_site(
        7,
        18,
        (6.55, 0.165, 62.4),
        588_575,
        3,
        (
            RequestKind("guide", 8.68, 60, 1.4, 3720, 13_300, 83, 4.0, 25.0, 0.8, 2.9),
            RequestKind("digest", 4.06, 26, 1.4, 2890, 6300, 39, 3.0, 12.0, 0.8, 2.3),
            RequestKind("note", 8.35, 86, 0.89, 1110, 350, 119, 2.0, 25.0, 0.8, 0.41),
        ),
    ),
}

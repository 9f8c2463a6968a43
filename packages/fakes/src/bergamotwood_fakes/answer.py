"""Answers of the fake engine, which depend only on version, prompt and length."""

from hashlib import sha256
from re import compile as compile_pattern

from msgspec import json

WORDS = [
    "amber",
    "birch",
    "clover",
    "delta",
    "ember",
    "fern",
    "garnet",
    "harbour",
    "iris",
    "jade",
    "kelp",
    "lantern",
    "maple",
    "nectar",
    "orchid",
    "pebble",
    "quartz",
    "river",
    "saffron",
    "thistle",
    "umber",
    "violet",
    "willow",
]
MIN_ANSWER_TOKENS = 16
ANSWER_TOKEN_SPREAD = 48
QUALITY_SPREAD = 0.3
QUALITY_PATTERN = compile_pattern(r"quality=([01]\.\d{3})")


def digest_messages(messages: list[dict]) -> bytes:
    """Hash the messages of a chat, independently of the order of their fields."""
    return sha256(json.encode(messages, order="sorted")).digest()


def join_prompt(messages: list[dict]) -> str:
    """Join the text of all messages."""
    return "\n".join(_read_text(message.get("content")) for message in messages)


def _read_text(content: object) -> str:
    """Read the text of a message, whose content is a string or a list of parts."""
    match content:
        case str():
            return content
        case list():
            return " ".join(part.get("text", "") for part in content)
        case _:
            return ""


def compute_quality(mean_quality: float, messages: list[dict]) -> float:
    """Compute the quality of an answer from the version and the prompt.

    Parameters
    ----------
    mean_quality : float
        Mean quality of the version, 0 to 1.
    messages : list of dict
        The chat; its digest determines the difficulty.
    """
    difficulty = int.from_bytes(digest_messages(messages)[:4]) / 2**32 - 0.5
    return min(1.0, max(0.0, mean_quality - QUALITY_SPREAD * difficulty))


def make_answer(
    version: str, messages: list[dict], quality: float, token_count: int | None = None
) -> list[str]:
    """Make the tokens of an answer.

    Parameters
    ----------
    version : str
        The answering version, as `model:version`.
    messages : list of dict
        The chat.
    quality : float
        Quality of this answer, which its text states.
    token_count : int, optional
        Exact number of tokens, but at least two; by default it depends on the version
        and the prompt.

    Returns
    -------
    list of str
        At least two tokens: version and quality, then pseudo-random words.
    """
    seed = sha256(version.encode() + digest_messages(messages)).digest()
    count = token_count or MIN_ANSWER_TOKENS + seed[0] % ANSWER_TOKEN_SPREAD
    tokens = [f"{version}", f" quality={quality:.3f}"]
    # A linear congruential generator, whose high bits choose the words.
    state = int.from_bytes(seed)
    for position in range(max(0, count - len(tokens))):
        state = (state * 6364136223846793005 + position + 1) % 2**256
        tokens.append(" " + WORDS[(state >> 200) % len(WORDS)])
    return tokens


def read_quality(answer: str) -> float | None:
    """Read the quality that an answer states, None when it states none."""
    match = QUALITY_PATTERN.search(answer)
    return float(match.group(1)) if match else None


def check_answer(answer: str, messages: list[dict], token_count: int | None) -> bool:
    """Whether a text is the complete answer of the version that it names."""
    quality = read_quality(answer)
    if quality is None:
        return False
    version = answer.split(" ", 1)[0]
    return answer == "".join(make_answer(version, messages, quality, token_count))

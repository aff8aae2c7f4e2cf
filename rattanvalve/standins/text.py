"""Deterministic text of the stand-in engine.

The text depends on the messages only, so a reader of client records can
compute which response belongs to a request.
"""

import hashlib
import json

__all__ = (
    'expected_text',
    'expected_tokens',
    'is_text_complete',
    'messages_digest',
    'prompt_tokens',
)

_SYLLABLES = (
    'ba', 'de', 'fi', 'go', 'hu', 'ka', 'le', 'mi',
    'no', 'pu', 'ra', 'se', 'ti', 'vo', 'wu', 'za',
)  # fmt: skip
_SHORTEST_TOKENS = 8
_LENGTH_SPREAD_TOKENS = 41
#: Tokens that the chat template adds to each message.
_TOKENS_PER_MESSAGE = 4


def messages_digest(messages: list[dict]) -> str:
    """Digest a message list.

    :param messages: messages of a chat-completions request.
    :returns: 64 hexadecimal digits.
    """
    text = json.dumps(messages, sort_keys=True, ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()


def expected_tokens(messages: list[dict], max_tokens: int) -> list[str]:
    """Give the response of the engine, token by token.

    :param messages: messages of the request.
    :param max_tokens: limit of the request in tokens.
    :returns: words that each end in a space.
    """
    digest = messages_digest(messages)
    count = min(_full_length(digest), max_tokens)
    return [_word(digest, index) for index in range(count)]


def expected_text(messages: list[dict], max_tokens: int) -> str:
    """Give the response of the engine as one text.

    :param messages: messages of the request.
    :param max_tokens: limit of the request in tokens.
    :returns: concatenation of :func:`expected_tokens`.
    """
    return ''.join(expected_tokens(messages, max_tokens))


def is_text_complete(messages: list[dict], max_tokens: int) -> bool:
    """Return whether the response ends by itself within the limit.

    :param messages: messages of the request.
    :param max_tokens: limit of the request in tokens.
    :returns: ``False`` if the limit cuts the text.
    """
    return _full_length(messages_digest(messages)) <= max_tokens


def prompt_tokens(message: dict) -> int:
    """Count the tokens of one message.

    :param message: message with text content.
    :returns: count, one token for each word plus the template's tokens.
    """
    return len(str(message.get('content', '')).split()) + _TOKENS_PER_MESSAGE


def _full_length(digest: str) -> int:
    return _SHORTEST_TOKENS + int(digest[:8], 16) % _LENGTH_SPREAD_TOKENS


def _word(digest: str, index: int) -> str:
    raw = hashlib.blake2b(f'{digest}/{index}'.encode(), digest_size=2).digest()
    syllables = [
        _SYLLABLES[nibble] for byte in raw for nibble in (byte >> 4, byte & 15)
    ]
    return f'{"".join(syllables)} '

"""Deterministic responses of the stand-in engine.

A response depends only on the messages, so a check of client records can
recompute the response that belongs to a request.
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
_MIN_RESPONSE_TOKENS = 8
_RESPONSE_LENGTH_COUNT = 41
#: Tokens that the chat template adds to each message.
_TOKENS_PER_MESSAGE = 4


def messages_digest(messages: list[dict]) -> str:
    """Compute the digest of a message list.

    :param messages: messages of a chat-completions request.
    :returns: 64 hexadecimal digits.
    """
    text = json.dumps(messages, sort_keys=True, ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()


def expected_tokens(messages: list[dict], max_tokens: int) -> list[str]:
    """Compute the tokens of the engine's response.

    :param messages: messages of the request.
    :param max_tokens: limit of the request in tokens.
    :returns: tokens, each a word followed by a space.
    """
    digest = messages_digest(messages)
    count = min(_response_length(digest), max_tokens)
    return [_word(digest, index) for index in range(count)]


def expected_text(messages: list[dict], max_tokens: int) -> str:
    """Compute the text of the engine's response.

    :param messages: messages of the request.
    :param max_tokens: limit of the request in tokens.
    :returns: concatenation of :func:`expected_tokens`.
    """
    return ''.join(expected_tokens(messages, max_tokens))


def is_text_complete(messages: list[dict], max_tokens: int) -> bool:
    """Return whether the whole response fits within the limit.

    :param messages: messages of the request.
    :param max_tokens: limit of the request in tokens.
    :returns: ``False`` if the limit truncates the response.
    """
    return _response_length(messages_digest(messages)) <= max_tokens


def prompt_tokens(message: dict) -> int:
    """Count the tokens of one message.

    :param message: message with text content.
    :returns: one token for each word, plus the tokens of the chat template.
    """
    return len(str(message.get('content', '')).split()) + _TOKENS_PER_MESSAGE


def _response_length(digest: str) -> int:
    return _MIN_RESPONSE_TOKENS + int(digest[:8], 16) % _RESPONSE_LENGTH_COUNT


def _word(digest: str, index: int) -> str:
    raw = hashlib.blake2b(f'{digest}/{index}'.encode(), digest_size=2).digest()
    syllables = [
        _SYLLABLES[nibble] for byte in raw for nibble in (byte >> 4, byte & 15)
    ]
    return f'{"".join(syllables)} '

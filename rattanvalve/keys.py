"""Keys of callers and operators: generation and digests.

Keys hold 256 random bits, so a plain SHA-256 digest cannot be reversed by
trying likely keys, and no salt or slow hash is needed.
"""

import hashlib
import secrets

__all__ = ('KEY_PREFIX', 'generate_key', 'key_digest')

KEY_PREFIX = 'rv-'
_KEY_BYTES = 32


def generate_key() -> str:
    """Make a new random key.

    :returns: printable key; it is shown once and not stored.
    """
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def key_digest(key: str) -> str:
    """Digest a key for storage and comparison.

    :param key: key as the caller sent it.
    :returns: SHA-256 digest as 64 hexadecimal digits.
    """
    return hashlib.sha256(key.encode()).hexdigest()

"""API keys of callers and operators: generation and digests.

A key has 256 random bits, so its SHA-256 digest cannot be reversed by a
dictionary attack, and neither a salt nor a slow hash is needed.
"""

import hashlib
import secrets

__all__ = ('KEY_PREFIX', 'generate_key', 'key_digest')

KEY_PREFIX = 'rv-'
_KEY_BYTES = 32


def generate_key() -> str:
    """Generate a random key.

    :returns: printable key, which is shown once and not stored.
    """
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def key_digest(key: str) -> str:
    """Compute the digest of a key for storage and comparison.

    :param key: key as the caller sent it.
    :returns: SHA-256 digest as 64 hexadecimal digits.
    """
    return hashlib.sha256(key.encode()).hexdigest()

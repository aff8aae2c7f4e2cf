"""TLS of the HTTP listeners; certificates are read again without a restart."""

import ssl

from rattanvalve.errors import SettingsError
from rattanvalve.settings import Tls

__all__ = ('TLS_FIELDS', 'make_tls_context', 'reload_tls_context')

#: Settings of an entry process that name certificates.
TLS_FIELDS = ('caller_tls', 'admin_tls')


def make_tls_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Make the context of a listener.

    :param tls: certificate and key files, or ``None`` for plain HTTP.
    :returns: the context, or ``None``.
    :raises SettingsError: if the files are missing or do not belong together.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    return context


def reload_tls_context(context: ssl.SSLContext, tls: Tls) -> None:
    """Read the files again; new connections use them.

    :param context: context of a listener.
    :param tls: certificate and key files.
    :raises SettingsError: if the files are missing or do not belong together;
        the context is unchanged then.
    """
    # A failed attempt may leave a context with half of a pair.
    make_tls_context(tls)
    _load(context, tls)


def _load(context: ssl.SSLContext, tls: Tls) -> None:
    try:
        context.load_cert_chain(tls.certificate_path, tls.key_path)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f'{tls.certificate_path}: {error}') from error

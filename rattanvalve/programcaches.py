"""Caches of programs that their endpoints can release."""

from dataclasses import dataclass

__all__ = ('CacheRelease', 'ProgramCaches')


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheRelease:
    """Cache of a program that an endpoint can release."""

    service_name: str
    endpoint: str
    program_id: str


class ProgramCaches:
    """Collects releases until the owner service sends them."""

    def __init__(self) -> None:
        self._releases: list[CacheRelease] = []

    def set_endpoint(
        self,
        program_id: str,
        endpoints: dict[str, str],
        service_name: str,
        endpoint: str,
    ) -> None:
        """Set the endpoint of a program and release its cache at the old one.

        :param program_id: program id.
        :param endpoints: most recent endpoint of the program by service; it is
            updated.
        :param service_name: service of the run.
        :param endpoint: endpoint of the run.
        """
        previous = endpoints.get(service_name, endpoint)
        if previous != endpoint:
            self._add_release(program_id, service_name, previous)
        endpoints[service_name] = endpoint

    def release_all(self, program_id: str, endpoints: dict[str, str]) -> None:
        """Release all caches of a program that ended or spent its budget.

        :param program_id: program id.
        :param endpoints: most recent endpoint of the program by service; it is
            cleared.
        """
        for service_name, endpoint in endpoints.items():
            self._add_release(program_id, service_name, endpoint)
        endpoints.clear()

    def drain(self) -> list[CacheRelease]:
        """Remove and return the releases collected since the last call.

        :returns: caches to release.
        """
        drained = self._releases.copy()
        self._releases.clear()
        return drained

    def _add_release(self, program_id: str, name: str, endpoint: str) -> None:
        self._releases.append(
            CacheRelease(
                service_name=name,
                endpoint=endpoint,
                program_id=program_id,
            ),
        )

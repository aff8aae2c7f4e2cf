"""Caches of programs that endpoints need not hold any longer."""

from dataclasses import dataclass

__all__ = ('CacheRelease', 'ProgramCaches')


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheRelease:
    """Cache of a program at one endpoint, to be released."""

    service_name: str
    endpoint: str
    program_id: str


class ProgramCaches:
    """Collects releases until the owner service sends them."""

    def __init__(self) -> None:
        self._releases: list[CacheRelease] = []

    def move(
        self,
        program_id: str,
        endpoints: dict[str, str],
        service_name: str,
        endpoint: str,
    ) -> None:
        """Note that a program runs on an endpoint now.

        :param program_id: program id.
        :param endpoints: newest endpoint of the program by service; updated.
        :param service_name: service of the run.
        :param endpoint: endpoint of the run.
        """
        previous = endpoints.get(service_name, endpoint)
        if previous != endpoint:
            self._release(program_id, service_name, previous)
        endpoints[service_name] = endpoint

    def release_all(self, program_id: str, endpoints: dict[str, str]) -> None:
        """Release all caches of a program that ended or spent its budget.

        :param program_id: program id.
        :param endpoints: newest endpoint of the program by service; emptied.
        """
        for service_name, endpoint in endpoints.items():
            self._release(program_id, service_name, endpoint)
        endpoints.clear()

    def take(self) -> list[CacheRelease]:
        """Take out the releases since the last call.

        :returns: caches to release.
        """
        taken = self._releases.copy()
        self._releases.clear()
        return taken

    def _release(self, program_id: str, name: str, endpoint: str) -> None:
        self._releases.append(
            CacheRelease(
                service_name=name,
                endpoint=endpoint,
                program_id=program_id,
            ),
        )

"""Stand-ins for the platform, servers and consumers, and the fleet under test.

Standard library only. The programs under test run as separate processes, with
the commands of ``deploy/system.toml``.
"""

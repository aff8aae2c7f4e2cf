"""Scheduler and gateway between agent programs and model engines."""

__all__ = ('__version__',)

__version__ = '0.1.0'

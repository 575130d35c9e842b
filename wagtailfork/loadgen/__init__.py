"""Open-loop load generator that follows the caller protocol."""

from .generator import LoadPlan, LoadResult, run_load

__all__ = ('LoadPlan', 'LoadResult', 'run_load')

"""An open-loop load generator that behaves as callers do."""

from .generator import LoadPlan, LoadResult, run_load

__all__ = ('LoadPlan', 'LoadResult', 'run_load')

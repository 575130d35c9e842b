"""Explain how a request ended, from the logs of several VMs."""

from .explanation import Explanation, explain_request
from .lines import LogLine, parse_line

__all__ = ('LogLine', 'Explanation', 'parse_line', 'explain_request')

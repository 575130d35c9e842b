"""Allocation of ports to several runs of tests at once."""

import itertools
import subprocess
import sys
from unittest import mock

import testtools

from . import rig_tools

PORTS = 20
FIRST_OFFSET = 17000
ALL_PORTS = 15000
# Drawn without a lock by the stand-ins of review/, then by the kernel.
FOREIGN_PORTS = range(12000, 61000)
_SCRIPT = f"""
import itertools, sys
from wagtailfork.tests import rig_tools
rig_tools._port_offsets = itertools.count({FIRST_OFFSET})
print(*[rig_tools.free_port() for _ in range({PORTS})], flush=True)
sys.stdin.read()
"""


class TestFreePort(testtools.TestCase):
    """A port belongs to one run of tests."""

    def test_no_port_is_drawn_by_others(self) -> None:
        """Guard: the cases of review/ drew from our range without a lock."""
        offsets = itertools.count()
        with (
            mock.patch.object(rig_tools, '_port_offsets', offsets),
            mock.patch.object(rig_tools, '_reserve', return_value=True),
        ):
            ports = {rig_tools.free_port() for _ in range(ALL_PORTS)}
        self.assertEqual(set(), ports.intersection(FOREIGN_PORTS))

    def test_two_processes_get_different_ports(self) -> None:
        """Regression: a run lost a port to another between test and start.

        The stand-in that was to listen there ended, and the start of the rig
        timed out after 20 s.
        """
        with subprocess.Popen(
            [sys.executable, '-c', _SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other:
            assert other.stdout is not None
            theirs = {int(port) for port in other.stdout.readline().split()}
            offsets = itertools.count(FIRST_OFFSET)
            with mock.patch.object(rig_tools, '_port_offsets', offsets):
                ours = {rig_tools.free_port() for _ in range(PORTS)}
            other.communicate()
        self.assertEqual(PORTS, len(theirs))
        self.assertEqual(set(), ours & theirs)

"""What a gateway records of responses that blame the caller."""

from typing import Any
from unittest import mock

import testtools

from ..node import GatewayNode
from .rig import HOST, Rig, run_scenario


def denied_lines(emit: mock.Mock) -> list[dict[str, Any]]:
    """Return the fields of the ``denied`` lines."""
    return [
        dict(call.kwargs)
        for call in emit.call_args_list
        if call.args == ('denied',)
    ]


def watch_log(node: GatewayNode) -> mock.Mock:
    """Return a mock that is called for each line on a response."""
    log = mock.Mock()
    node.forwarder.responder.log = log
    emit: mock.Mock = log.emit
    return emit


class TestDenials(testtools.TestCase):
    """Each response of 3xx or 4xx tells what it rests on."""

    def test_unknown_route_names_its_configuration(self) -> None:
        """Guards against a 404 that cannot be traced to a configuration."""
        run_scenario(self._call_unknown)

    async def _call_unknown(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        emit = watch_log(node)
        head = (
            b'GET /nothing?a HTTP/1.1\r\nHost: other\r\nRequest-Id: r7\r\n\r\n'
        )
        response = await rig.send_raw(node.cfg.caller_address, head)
        self.assertEqual(404, response.status)
        line = denied_lines(emit)[0]
        expected = {
            'id': 'r7',
            'status': 404,
            'why': 'unknown_service',
            'host': 'other',
            'path': '/nothing',
            'config': 1,
            'routes': 2,
            'newest_heard': 1,
        }
        self.assertEqual(expected, {name: line[name] for name in expected})
        self.assertLess(line['age_ms'], 60000)
        self.assertEqual(
            {(404, 'unknown_service'): 1}, dict(node.meters.denials)
        )

    def test_unreadable_request_names_the_reason(self) -> None:
        """Guards against a 4xx that says nothing of the limit it rests on."""
        run_scenario(self._send_long_head)

    async def _send_long_head(self, rig: Rig) -> None:
        await rig.start()
        node = rig.nodes[0]
        emit = watch_log(node)
        head = b'GET / HTTP/1.1\r\nHost: %b\r\nX: %b\r\n\r\n' % (
            HOST.encode(),
            b'x' * 5000,
        )
        response = await rig.send_raw(node.cfg.caller_address, head)
        self.assertEqual(431, response.status)
        line = denied_lines(emit)[0]
        self.assertEqual((431, 'head too long'), (line['status'], line['why']))
        self.assertEqual({(431, 'head too long'): 1}, dict(node.meters.denials))

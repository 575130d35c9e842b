"""Proper requests in uncommon writing reach the servers as common ones do."""

import asyncio

import testtools

from ...standin.scripted_backend import (
    ReceivedRequest,
    Script,
    ScriptedBackend,
    Writer,
    render_response,
    serve_request,
)
from .rig import HOST, LIMIT_S, Rig, run_scenario


async def send_behind_one_another(rig: Rig, *raw: bytes) -> list[int]:
    """Send requests on one connection; return the statuses."""
    host, _, port = rig.nodes[0].cfg.caller_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b''.join(raw))
    statuses: list[int] = []
    async with asyncio.timeout(LIMIT_S):
        while len(statuses) < len(raw):
            head = await reader.readuntil(b'\r\n\r\n')
            statuses.append(int(head.split(b' ')[1]))
            size = head.lower().split(b'content-length: ')[1].split()[0]
            await reader.readexactly(int(size))
    writer.close()
    return statuses


async def echo_with_white_space(
    backend: ScriptedBackend, req: ReceivedRequest, writer: Writer
) -> None:
    """Respond with white space behind the id of the request."""
    backend.runs.append(req)
    writer.write(render_response(req).replace(b'r1', b'r1 \t'))


class TestUncommonRequests(testtools.TestCase):
    """Uncommon requests are routed and forwarded like any other."""

    def _send(
        self, *raw: bytes, script: Script = serve_request
    ) -> list[ReceivedRequest]:
        """Return what a server received of requests that all succeed."""
        runs: list[ReceivedRequest] = []

        async def scenario(rig: Rig) -> None:
            await rig.start(backends=1)
            rig.backends['b0'].script = script
            statuses = await send_behind_one_another(rig, *raw)
            self.assertEqual([200 for _ in raw], statuses)
            runs.extend(rig.backends['b0'].runs)

        run_scenario(scenario)
        return runs

    def test_upgrade_is_ignored_and_not_forwarded(self) -> None:
        """Regression: 400 for an upgrade, that a server may ignore."""
        upgrade = (
            f'POST /pay/1?a=b HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n'
            'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
            'HTTP2-Settings: AAMA\r\nContent-Length: 4\r\n\r\nbody'
        )
        behind = f'GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n'
        pay, look = self._send(upgrade.encode(), behind.encode())
        self.assertEqual(
            ('POST', '/pay/1?a=b', b'body'), (pay.method, pay.path, pay.body)
        )
        self.assertEqual('/look/1', look.path)
        names = {'upgrade', 'connection', 'http2-settings'}
        self.assertEqual(set(), names & pay.headers.keys())

    def test_target_in_absolute_form(self) -> None:
        """Regression: 404, as the target was taken for a path."""
        upper = f'{HOST.upper()}:80'
        targets = {
            f'http://{HOST}/look/1?a=http://b/c': (
                '/look/1?a=http://b/c',
                HOST,
            ),
            f'HTTP://{upper}/look/': ('/look/', upper),
            f'https://{HOST}/look/%2f//?': ('/look/%2f//?', HOST),
        }
        behind = 'HTTP/1.1\r\nHost: other.example\r\n\r\n'
        runs = self._send(
            *(f'GET {target} {behind}'.encode() for target in targets)
        )
        found = {(run.path, run.headers['host']) for run in runs}
        self.assertEqual(set(targets.values()), found)

    def test_white_space_behind_values(self) -> None:
        """Regression: 404, as the host had spaces behind it."""
        look, pay = self._send(
            f'GET /look/1 HTTP/1.1\r\nHost:\t{HOST} \t\r\n\r\n'.encode(),
            f'POST /pay/1 HTTP/1.1\r\nhOST:{HOST} \r\nRequest-Id: r1\t\r\n'
            'Transfer-Encoding: Chunked\t\r\n\r\n'
            '4\r\nbody\r\n0\r\n\r\n'.encode(),
        )
        self.assertEqual(
            [HOST] * 2, [look.headers['host'], pay.headers['host']]
        )
        self.assertEqual(('r1', b'body'), (pay.headers['request-id'], pay.body))

    def test_white_space_behind_an_echoed_id(self) -> None:
        """Regression: the response was taken for that to another request."""
        self._send(
            f'GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            'Request-Id: r1\r\n\r\n'.encode(),
            script=echo_with_white_space,
        )

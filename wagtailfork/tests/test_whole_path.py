"""Test the README's request path from directory to report, in processes."""

import asyncio
import json
import subprocess
import sys
import tempfile

import testtools

from .rig import REGION, Rig
from .rig_tools import HOST, free_port, wait_until


class WholePathTest(testtools.TestCase):
    """Run three entry VMs, a log, a VM list and four backend servers."""

    def test_path_from_directory_to_report(self) -> None:
        """Send requests as a caller; compare the report with the runs."""
        asyncio.run(self._check_path())

    async def _check_path(self) -> None:
        async with Rig() as rig:
            listed = await rig.directory(rig.entries[1])
            self.assertEqual(
                {entry.caller_address for entry in rig.entries},
                {entry['address'] for entry in listed},
            )
            for entry in rig.entries:
                reply = await rig.call(entry, x_request_id='mine')
                self.assertEqual((200, 'ran'), (reply.status, reply.kind))
                self.assertEqual('mine', reply.headers['x-request-id'])
                self.assertEqual('mine', reply.json()['request_id'])
            await self._check_ticket_everywhere(rig)
            await self._check_refusals(rig)
            await self._check_keys(rig)
            await self._check_report(rig)

    async def _check_ticket_everywhere(self, rig: Rig) -> None:
        rule = {
            'kind': 'rule',
            'name': 'only-kiosk',
            'state': {'customer': 'kiosk', 'service': 'payvend'},
        }
        ticket = {'ticket': 2, 'operator': 'ana', 'objects': [rule]}
        status, answer = await rig.submit(ticket, entry=2)
        self.assertEqual((200, 1000), (status, answer['code']))

        async def refused_everywhere() -> bool:
            replies = [
                await rig.call(entry, wagtailfork_customer='clerk')
                for entry in rig.entries
            ]
            return [reply.code for reply in replies] == [2005] * len(replies)

        await wait_until(refused_everywhere, 15)
        status, answer = await rig.submit(ticket, entry=1)
        self.assertEqual((200, 1000), (status, answer['code']))
        changed = {**ticket, 'operator': 'ivo'}
        status, answer = await rig.submit(changed, entry=0)
        self.assertEqual((409, 5003), (status, answer['code']))

    async def _check_refusals(self, rig: Rig) -> None:
        entry = rig.entries[0]
        url = f'http://{entry.caller_address}/s/nothing/x'
        async with rig.http.get(url) as answer:
            self.assertEqual(2006, (await answer.json())['code'])
        unknown = await rig.call(entry, wagtailfork_customer='nobody')
        self.assertEqual(2007, unknown.code)
        malformed = await rig.call(entry, wagtailfork_deadline_ms='soon')
        self.assertEqual(2012, malformed.code)
        keyless = await rig.call(entry, 'POST', body=b'pay')
        self.assertEqual((2008, 'not-run'), (keyless.code, keyless.kind))
        unprefixed = await rig.call(entry, 'POST', idempotency_key='mine')
        self.assertEqual(2009, unprefixed.code)
        status, answer = await rig.submit({'ticket': 'x'})
        self.assertEqual((400, 5001), (status, answer['code']))

    async def _check_keys(self, rig: Rig) -> None:
        prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']
        key = f'{prefix}order-1'
        first = await rig.call(
            rig.entries[0],
            'POST',
            body=b'one',
            idempotency_key=key,
        )
        self.assertEqual('ran', first.kind)

        async def replayed() -> bool:
            again = await rig.call(
                rig.entries[1],
                'POST',
                body=b'one',
                idempotency_key=key,
            )
            return (again.code, again.body) == (3001, first.body)

        await wait_until(replayed)
        other = await rig.call(
            rig.entries[2],
            'POST',
            body=b'two',
            idempotency_key=key,
        )
        self.assertEqual(2010, other.code)
        runs = [run for run in await rig.runs() if run['key'] == key]
        self.assertEqual(1, len(runs))

    async def _check_report(self, rig: Rig) -> None:
        runs = await rig.runs()
        command = [
            *(sys.executable, '-m', 'wagtailfork', 'report', 'traffic'),
            *('--log', f'http://{HOST}:{rig.log_port}', '--json'),
        ]

        async def reconciles() -> bool:
            proc = await asyncio.create_subprocess_exec(
                *command,
                stdout=subprocess.PIPE,
            )
            printed, _errors = await proc.communicate()
            served: dict[str, int] = {}
            for row in json.loads(printed):
                name = row['backend']
                served[name] = served.get(name, 0) + row['requests']
            counted = {
                f'payvend.{index}': sum(run['backend'] == index for run in runs)
                for index in range(rig.backend_count)
            }
            served.pop('-', None)
            return served == {name: n for name, n in counted.items() if n}

        await wait_until(reconciles)


class SettingsTest(testtools.TestCase):
    """Report invalid settings as one line with a result code."""

    def _run_with(self, cfg: object) -> subprocess.CompletedProcess[str]:
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            json.dump(cfg, file)
            file.flush()
            return subprocess.run(
                [
                    *(sys.executable, '-m', 'wagtailfork'),
                    *('entry', '--settings', file.name),
                ],
                capture_output=True,
                text=True,
                check=False,
                timeout=30,
            )

    def _settings(self, **changes: object) -> dict[str, object]:
        return {
            'vm': 'e',
            'region': REGION,
            'failure_domain': 'hobart-a',
            'caller_address': f'{HOST}:{free_port()}',
            'peer_address': f'{HOST}:{free_port()}',
            'admin_address': f'{HOST}:{free_port()}',
            'log_url': 'http://127.0.0.1:1',
            'vm_list_url': 'http://127.0.0.1:1',
            **changes,
        }

    def _assert_refused(self, cfg: object, code: int) -> None:
        done = self._run_with(cfg)
        self.assertEqual(1, done.returncode)
        lines = done.stderr.strip().splitlines()
        self.assertEqual(1, len(lines), done.stderr)
        self.assertIn(f'code={code} ', lines[0])

    def test_unknown_key(self) -> None:
        """Reject an unknown key."""
        self._assert_refused(self._settings(vmm='x'), 6002)

    def test_wrong_type(self) -> None:
        """Reject a number in place of a string."""
        self._assert_refused(self._settings(vm=5), 6002)

    def test_address_in_use(self) -> None:
        """Reject an address that cannot be bound."""
        address = f'192.0.2.1:{free_port()}'
        self._assert_refused(self._settings(caller_address=address), 6003)

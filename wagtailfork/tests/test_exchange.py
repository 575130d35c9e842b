"""Test responses to callers and cancellation at backend servers."""

import asyncio

import aiohttp
import testtools

from .rig import Rig
from .rig_tools import HOST, wait_until
from .shared_calls import call_in_turn


class ExchangeTest(testtools.TestCase):
    """Check single requests and responses in one deployment."""

    def test_exchanges(self) -> None:
        """Check mismatched and incomplete responses, cancellation, limits."""
        asyncio.run(self._exchanges())

    async def _exchanges(self) -> None:
        async with Rig(backend_count=2) as rig:
            await self._check_mismatched_answer(rig)
            await self._check_cancellation(rig)
            await self._check_broken_answer(rig)
            await self._check_fail_fast(rig)
            await self._check_abandoned_uploads(rig)
            await self._check_limit(rig)
            await self._check_refused_key(rig)
            await self._check_long_header(rig)

    async def _check_mismatched_answer(self, rig: Rig) -> None:
        """Deliver no response that has another request's id."""
        for index in range(rig.backend_count):
            await rig.set_behaviour(index, answer_id='of-another')
        reply = await rig.call(rig.entries[0], x_request_id='mine')
        self.assertEqual((4002, 'unknown'), (reply.code, reply.kind))
        self.assertEqual('mine', reply.headers['x-request-id'])
        for index in range(rig.backend_count):
            await rig.set_behaviour(index)

    async def _check_cancellation(self, rig: Rig) -> None:
        """Cancel a GET at the backend server when its caller disconnects."""
        for index in range(rig.backend_count):
            await rig.set_behaviour(index, service_ms=5000)
        calling = asyncio.create_task(
            rig.call(rig.entries[0], x_request_id='left'),
        )

        async def outcome_is(wanted: str) -> bool:
            found = [
                run['outcome']
                for run in await rig.runs()
                if run['request_id'] == 'left'
            ]
            return found == [wanted]

        await wait_until(lambda: outcome_is('running'))
        calling.cancel()
        await wait_until(lambda: outcome_is('cancelled'))
        for index in range(rig.backend_count):
            await rig.set_behaviour(index)

    async def _check_broken_answer(self, rig: Rig) -> None:
        """Do not end an incomplete response as if it were complete."""
        for index in range(rig.backend_count):
            await rig.set_behaviour(index, answer_bytes=50_000_000)
        url = f'http://{rig.entries[0].caller_address}/s/payvend/long'
        headers = {'wagtailfork-customer': 'kiosk'}
        async with rig.http.get(url, headers=headers) as answer:
            await answer.content.readexactly(100_000)
            for port in rig.backend_ports:
                await self._exit(rig, port)
            broken = False
            try:
                await answer.read()
            except aiohttp.ClientPayloadError:
                broken = True
            self.assertTrue(broken)
        for index in range(rig.backend_count):
            await rig.start_backend(index)
        # Without this wait, all calls below might run on the one server that
        # has already restarted.
        await rig.wait_standins_listening()
        await wait_until(lambda: self._all_run(rig))

    async def _check_fail_fast(self, rig: Rig) -> None:
        """Avoid a server that fails fast and therefore seems idle."""
        await rig.set_behaviour(0, fail_status=500)
        await call_in_turn(rig, 30)
        replies = await call_in_turn(rig, 30)
        failed = [reply for reply in replies if reply.status != 200]
        self.assertLess(len(failed), 10)
        await rig.set_behaviour(0)

    async def _check_abandoned_uploads(self, rig: Rig) -> None:
        """Regression: uploads that callers aborted were counted as crashes."""
        # The incomplete response of an earlier check left a strike.
        before = await rig.dump(rig.entries[0])
        for _attempt in range(4):
            await self._abandon_upload(rig)
        after = await rig.dump(rig.entries[0])
        self.assertEqual(before['quarantined'], after['quarantined'])
        reply = await rig.call(rig.entries[0], 'PUT', body=bytes(300_000))
        self.assertEqual('ran', reply.kind)

    async def _abandon_upload(self, rig: Rig) -> None:
        port = rig.entries[0].ports[0]
        _reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            b'PUT /s/payvend/item HTTP/1.1\r\nhost: x\r\n'
            b'wagtailfork-customer: kiosk\r\n'
            b'content-length: 300000\r\n\r\n',
        )
        writer.write(bytes(200_000))
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.transport.abort()
        await asyncio.sleep(0.3)

    async def _check_limit(self, rig: Rig) -> None:
        """Refuse requests above a customer's limit."""
        state = {
            'customer': 'clerk',
            'service': 'payvend',
            'calls_per_s': 0.001,
        }
        limit = {'kind': 'limit', 'name': 'clerk', 'state': state}
        ticket = {'ticket': 2, 'operator': 'ana', 'objects': [limit]}
        self.assertEqual(200, (await rig.submit(ticket))[0])

        async def is_limited() -> bool:
            reply = await rig.call(
                rig.entries[0],
                wagtailfork_customer='clerk',
            )
            return reply.code == 2014

        await wait_until(is_limited)

    async def _check_refused_key(self, rig: Rig) -> None:
        """Regression: a request refused before its claim could run later.

        The refusal must close the key, as its result is 'not-run'.
        """
        rule = {
            'kind': 'rule',
            'name': 'only-clerk',
            'state': {'customer': 'clerk', 'service': 'payvend'},
        }
        ticket = {'ticket': 3, 'operator': 'ana', 'objects': [rule]}
        self.assertEqual(200, (await rig.submit(ticket))[0])
        await wait_until(lambda: self._kiosk_results_are(rig, 2005))
        prefix = (await rig.directory(rig.entries[0]))[0]['key_prefix']
        key = f'{prefix}refused'
        codes = [await self._pay(rig, key)]
        deleted = {**rule, 'state': None}
        ticket = {'ticket': 4, 'operator': 'ana', 'objects': [deleted]}
        self.assertEqual(200, (await rig.submit(ticket))[0])
        await wait_until(lambda: self._kiosk_results_are(rig, 1000))
        codes.append(await self._pay(rig, key))
        self.assertEqual([2005, 2013], codes)
        runs = await rig.runs()
        self.assertEqual([], [run for run in runs if run['key'] == key])

    async def _check_long_header(self, rig: Rig) -> None:
        """Refuse a request id that is too long."""
        reply = await rig.call(rig.entries[0], x_request_id='x' * 300)
        self.assertEqual((2012, 'not-run'), (reply.code, reply.kind))

    async def _pay(self, rig: Rig, key: str) -> int:
        reply = await rig.call(rig.entries[1], 'POST', idempotency_key=key)
        return reply.code

    async def _kiosk_results_are(self, rig: Rig, code: int) -> bool:
        replies = [await rig.call(entry) for entry in rig.entries]
        return {reply.code for reply in replies} == {code}

    async def _all_run(self, rig: Rig) -> bool:
        replies = await call_in_turn(rig, 6)
        return {reply.kind for reply in replies} == {'ran'}

    async def _exit(self, rig: Rig, port: int) -> None:
        try:
            await rig.post(f'{HOST}:{port}/standin/exit', {})
        except aiohttp.ClientError:
            return

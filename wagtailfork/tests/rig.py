"""Run a small deployment as processes and inject faults into it."""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from typing import Any

import aiohttp
import attrs

from . import platform_inputs
from .platform_inputs import CUSTOMERS, DOMAINS, REGION, Entry
from .relay import Relay
from .rig_tools import HOST, Reply, free_port, is_listening, wait_until

FAST_TIMING = {
    'heartbeat_s': 0.2,
    'peer_down_s': 0.8,
    'vm_list_poll_s': 0.2,
    'log_poll_s': 0.5,
    'log_timeout_s': 1.0,
    'directory_ttl_s': 1.0,
    'traffic_flush_s': 0.5,
}


@attrs.define(eq=False)
class Rig:
    """Run a log, a VM list, backend servers and entry VMs as processes."""

    entry_count: int = 3
    backend_count: int = 4
    service_ms: float = 5
    slots: int = 4
    timing: dict[str, float] = attrs.field(factory=lambda: dict(FAST_TIMING))
    entry_module: str = 'wagtailfork'
    extra_settings: dict[str, Any] = attrs.field(factory=dict)
    entries: list[Entry] = attrs.field(factory=list)
    backend_ports: list[int] = attrs.field(factory=list)
    log_port: int = attrs.field(factory=free_port)
    vms_port: int = attrs.field(factory=free_port)
    log_relay: Relay = attrs.field(init=False)
    procs: dict[str, asyncio.subprocess.Process] = attrs.field(factory=dict)
    _settings_dir: Any = attrs.field(factory=tempfile.TemporaryDirectory)
    http: aiohttp.ClientSession = attrs.field(init=False)

    async def __aenter__(self) -> 'Rig':
        """Start all processes; on an error stop those already started."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        self.http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=20),
        )
        self.log_relay = Relay(self.log_port)
        await self.log_relay.start()
        await self.start_standins()
        for index in range(self.entry_count):
            await self.add_entry(f'entry-{index}', DOMAINS[index % 2])
        await self.publish_vms()
        for entry in self.entries:
            await self.wait_serving(entry)
        status, answer = await self.submit(
            platform_inputs.setup_ticket(self.backend_ports, self.slots),
        )
        assert status == 200, answer
        await wait_until(self.is_ready)

    async def __aexit__(self, *_exc: object) -> None:
        """Kill all processes and close the relays."""
        await self.http.close()
        for proc in self.procs.values():
            if proc.returncode is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            await proc.wait()
        await self.log_relay.close()
        for entry in self.entries:
            await entry.relay.close()
        self._settings_dir.cleanup()

    async def spawn(self, name: str, *args: str, module: str = '') -> None:
        """Start one command of the product as a process."""
        self.procs[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module or 'wagtailfork',
            *args,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def start_standins(self) -> None:
        """Start the log, the VM list and the backend servers."""
        await self.spawn(
            'log', 'standin', 'log', '--address', f'{HOST}:{self.log_port}'
        )
        await self.spawn(
            'vms', 'standin', 'vms', '--address', f'{HOST}:{self.vms_port}'
        )
        for index in range(self.backend_count):
            self.backend_ports.append(free_port())
            await self.start_backend(index)
        await self.wait_standins_listening()

    async def wait_standins_listening(self) -> None:
        """Wait until the log, the VM list and every backend server listen."""
        for port in (self.log_port, self.vms_port, *self.backend_ports):
            await wait_until(lambda: is_listening(port))  # noqa: B023

    async def start_backend(self, index: int) -> None:
        """Start one backend server on its port."""
        await self.spawn(
            f'backend-{index}',
            *('standin', 'backend', '--name', f'b{index}'),
            *('--address', f'{HOST}:{self.backend_ports[index]}'),
            *('--service-ms', str(self.service_ms)),
        )

    async def add_entry(
        self,
        name: str,
        failure_domain: str,
        region: str = REGION,
    ) -> Entry:
        """Start another entry VM; its peers reach it through a relay."""
        ports = (free_port(), free_port(), free_port())
        relay = Relay(ports[1])
        await relay.start()
        entry = Entry(name, failure_domain, ports, relay, region)
        self.entries.append(entry)
        await self.start_entry(entry)
        return entry

    async def start_entry(self, entry: Entry) -> None:
        """Start an entry VM's process with a new incarnation."""
        cfg = {
            'vm': entry.name,
            'region': entry.region,
            'failure_domain': entry.failure_domain,
            'caller_address': entry.caller_address,
            'peer_address': f'{HOST}:{entry.ports[1]}',
            'admin_address': entry.admin_address,
            'log_url': f'http://{HOST}:{self.log_relay.port}',
            'vm_list_url': f'http://{HOST}:{self.vms_port}',
            'timing': self.timing,
            **self.extra_settings,
        }
        path = pathlib.Path(self._settings_dir.name) / f'{entry.name}.json'
        path.write_text(json.dumps(cfg))
        await self.spawn(
            entry.name,
            *('entry', '--settings', str(path)),
            module=self.entry_module,
        )
        entry.proc = self.procs[entry.name]

    def signal(self, entry: Entry, signum: signal.Signals) -> None:
        """Send a signal to an entry VM's process."""
        assert entry.proc is not None
        if entry.proc.returncode is None:
            entry.proc.send_signal(signum)

    async def kill(self, entry: Entry) -> None:
        """Kill an entry VM with SIGKILL and wait for its exit."""
        self.signal(entry, signal.SIGKILL)
        assert entry.proc is not None
        await entry.proc.wait()

    async def publish_vms(
        self,
        leaving: tuple[str, ...] = (),
        leaving_backends: tuple[int, ...] = (),
    ) -> None:
        """Publish the VM list."""
        vms = [
            platform_inputs.entry_vm_item(
                entry,
                is_leaving=entry.name in leaving,
            )
            for entry in self.entries
        ]
        vms.extend(
            platform_inputs.leaving_backend_item(
                index,
                self.backend_ports[index],
            )
            for index in leaving_backends
        )
        await self.post(f'{HOST}:{self.vms_port}/control', {'vms': vms})

    def backend_object(self, index: int, port: int) -> dict[str, Any]:
        """Return the ticket object that defines one backend server."""
        return platform_inputs.backend_object(index, port, self.slots)

    async def submit(
        self,
        ticket: Any,
        entry: int = 0,
        ident: str = '',
    ) -> tuple[int, Any]:
        """Submit a change ticket through one entry VM."""
        query = f'?id={ident}' if ident else ''
        url = f'{self.entries[entry].admin_address}/tickets{query}'
        return await self.post(url, ticket)

    async def post(self, url: str, body: Any) -> tuple[int, Any]:
        """Send JSON by POST; return the status and the JSON response."""
        async with self.http.post(
            f'http://{url}',
            data=json.dumps(body),
        ) as answer:
            return answer.status, await answer.json(content_type=None)

    async def get(self, url: str) -> Any:
        """Return the JSON response to a GET request."""
        async with self.http.get(f'http://{url}') as answer:
            return await answer.json(content_type=None)

    async def dump(self, entry: Entry) -> Any:
        """Return an entry VM's dump, or None if it does not respond."""
        try:
            return await self.get(f'{entry.admin_address}/dump')
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return None

    async def set_log_faults(self, **faults: Any) -> None:
        """Replace the faults that the log stand-in injects."""
        await self.post(f'{HOST}:{self.log_port}/control', faults)

    async def set_behaviour(self, index: int, **behaviour: Any) -> None:
        """Replace the scripted behaviour of a backend server."""
        behaviour.setdefault('service_ms', self.service_ms)
        url = f'{HOST}:{self.backend_ports[index]}/standin/behaviour'
        await self.post(url, behaviour)

    async def runs(self) -> list[dict[str, Any]]:
        """Return the run records of the running backend servers."""
        found: list[dict[str, Any]] = []
        for index, port in enumerate(self.backend_ports):
            if self.procs[f'backend-{index}'].returncode is not None:
                continue
            raw = await self.get(f'{HOST}:{port}/standin/state')
            found.extend({**run, 'backend': index} for run in raw['runs'])
        return found

    async def wait_serving(self, entry: Entry) -> None:
        """Wait until an entry VM's phase is 'serving'."""

        async def check() -> bool:
            raw = await self.dump(entry)
            return raw is not None and raw['phase'] == 'serving'

        await wait_until(check)

    async def is_ready(self) -> bool:
        """Return whether each entry VM has all servers, peers and ranges."""
        for entry in self.entries:
            raw = await self.dump(entry)
            if raw is None or len(raw['endpoints']) < self.backend_count:
                return False
            up = [peer for peer in raw['peers'] if peer['state'] == 'up']
            if len(up) < len(self.entries) - 1:
                return False
        for entry in self.entries:
            listed = await self.directory(entry)
            prefixes = [each['key_prefix'] for each in listed]
            if len(prefixes) < len(self.entries) or not all(prefixes):
                return False
        return True

    async def has_spare_ranges(self) -> bool:
        """Return whether each VM is primary of two key ranges with backups."""
        raw = await self.dump(self.entries[0])
        primaries = [
            view['members'][0]
            for view in raw['ranges'].values()
            if len(view['members']) > 1
        ]
        counts = [primaries.count(primary) for primary in set(primaries)]
        return len(counts) == len(self.entries) and min(counts) > 1

    async def directory(self, entry: Entry) -> list[dict[str, Any]]:
        """Return the entries of the directory that an entry VM serves."""
        raw = await self.get(f'{entry.caller_address}/wagtailfork/v1/directory')
        return list(raw['entries'])

    async def call(
        self,
        entry: Entry,
        method: str = 'GET',
        path: str = '/item',
        body: Any = None,
        **headers: str,
    ) -> Reply:
        """Send a request to the service, by default as the first customer.

        Header names are given with underscores instead of hyphens.
        """
        sent = {name.replace('_', '-'): text for name, text in headers.items()}
        sent.setdefault('wagtailfork-customer', CUSTOMERS[0])
        url = f'http://{entry.caller_address}/s/payvend{path}'
        try:
            async with self.http.request(
                method,
                url,
                headers=sent,
                data=body,
            ) as answer:
                raw = await answer.read()
                found = {
                    name.lower(): text for name, text in answer.headers.items()
                }
                return Reply(answer.status, found, raw)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return Reply(0, {}, repr(exc).encode())

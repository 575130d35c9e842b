"""Handlers of the messages between entry VMs."""

import time
from functools import singledispatch
from typing import Protocol

from ..claims.range_manager import RangeManager
from ..claims.register import ClaimRegister
from ..control.follower import Follower
from ..control.snapshots import dump_state
from ..core.errors import WagtailforkError
from ..core.results import ResultCode
from ..core.settings import EntrySettings
from ..peers import messages
from ..peers.messages import Message
from ..proxy.dispatcher import Dispatcher
from ..routing.placement import Placement


class PeerNode(Protocol):
    """List the parts of a node that handle messages."""

    cfg: EntrySettings
    incarnation: str
    state: str
    follower: Follower
    range_manager: RangeManager
    register: ClaimRegister
    dispatcher: Dispatcher
    placement: Placement


@singledispatch
async def handle(message: object, node: PeerNode) -> Message:
    """Return the reply to a message or raise ``frame_unknown_type``."""
    raise WagtailforkError(ResultCode.frame_unknown_type, repr(message))


@handle.register(messages.Hello)
async def _handle_hello(
    message: messages.Hello,
    node: PeerNode,
) -> Message:
    return messages.HelloReply(
        vm=node.cfg.vm,
        incarnation=node.incarnation,
        region=node.cfg.region,
        failure_domain=node.cfg.failure_domain,
    )


@handle.register(messages.Heartbeat)
async def _handle_heartbeat(
    message: messages.Heartbeat,
    node: PeerNode,
) -> Message:
    return messages.HeartbeatReply(
        phase=node.state,
        offset=node.follower.state.offset,
        key_prefix=node.range_manager.current_key_prefix() or '',
        demands=node.dispatcher.limits.demands(),
    )


@handle.register(messages.ClaimRequest)
async def _handle_claim(
    message: messages.ClaimRequest,
    node: PeerNode,
) -> Message:
    return await node.register.handle_claim(message)


@handle.register(messages.Replicate)
async def _handle_replicate(
    message: messages.Replicate,
    node: PeerNode,
) -> Message:
    return await node.register.handle_replicate(message)


@handle.register(messages.Settle)
async def _handle_settle(
    message: messages.Settle,
    node: PeerNode,
) -> Message:
    return await node.register.handle_settle(message)


@handle.register(messages.HandOver)
async def _handle_hand_over(
    message: messages.HandOver,
    node: PeerNode,
) -> Message:
    node.register.incoming_tables.receive(message)
    return messages.Ack()


@handle.register(messages.Strike)
async def _handle_strike(
    message: messages.Strike,
    node: PeerNode,
) -> Message:
    node.placement.strike(message.fingerprint, message.backend)
    return messages.Ack()


@handle.register(messages.Absolve)
async def _handle_absolve(
    message: messages.Absolve,
    node: PeerNode,
) -> Message:
    node.placement.absolve(message.fingerprint)
    return messages.Ack()


@handle.register(messages.Running)
async def _handle_running(
    message: messages.Running,
    node: PeerNode,
) -> Message:
    now = time.monotonic()
    node.placement.unanswered.record_peer_copy(
        message.fingerprint, message.backend, now
    )
    return messages.Ack()


@handle.register(messages.StateRequest)
async def _handle_state_request(
    message: messages.StateRequest,
    node: PeerNode,
) -> Message:
    follower = node.follower
    if not follower.ready or follower.state.offset <= message.offset:
        return messages.StateReply()
    return messages.StateReply(state=dump_state(follower.state))

"""
Admit.

Brings a caller's request through admission, and its charge to account.
"""

import math
from dataclasses import replace
from http import HTTPMethod

import anyio
from starlette.requests import Request

from kumquatway.admission import Admission, Ask, Kind, Ticket
from kumquatway.api._context import Caller, Context
from kumquatway.api._errors import bad_request
from kumquatway.api._generate import Generated
from kumquatway.calls import ServiceAsk
from kumquatway.streams import Ask as StreamAsk
from kumquatway_core import NOT_RUN, RAN, Verdict

DEADLINE = "kumquatway-deadline-s"
MAX_DEADLINE = 3600.0  # seconds
STATUS_METHODS = frozenset((HTTPMethod.GET, HTTPMethod.HEAD))


def read_deadline(request: Request, default: float) -> float | Verdict:
    """
    Read how long the caller wants to wait.

    :param request: of the caller.
    :param default: seconds, without the header.
    :return: seconds, up to `MAX_DEADLINE`, or the verdict of a bad header.
    """
    said = request.headers.get(DEADLINE)
    if said is None:
        return default
    try:
        seconds = float(said)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        return bad_request(f"{DEADLINE} is a number of seconds above 0")
    return min(seconds, MAX_DEADLINE)


def ask_of_stream(caller: Caller, ask: StreamAsk) -> Ask:
    """
    Say what a request to a model wants of admission.

    :param caller: who asks.
    :param ask: of the stream.
    :return: the ask.
    """
    return Ask(
        account=caller.name,
        target=ask.name,
        priority=caller.account.priority,
        prompt_tokens=ask.prompt_tokens(),
        answer_tokens=ask.max_tokens,
        deadline=ask.deadline,
    )


def ask_of_call(caller: Caller, ask: ServiceAsk, deadline: float) -> Ask:
    """
    Say what a call of a plain service wants of admission.

    :param caller: who asks.
    :param ask: of the call.
    :param deadline: monotonic seconds.
    :return: the ask; an idempotent GET or HEAD is a status read.
    """
    status = ask.idempotent and ask.method in STATUS_METHODS
    return Ask(
        account=caller.name,
        target=ask.service,
        kind=Kind.STATUS_READ if status else Kind.SERVICE_CALL,
        priority=caller.account.priority,
        deadline=deadline,
    )


async def admit(admission: Admission, request: Request, ask: Ask) -> Ticket | Verdict:
    """
    Wait until a request may start, or its caller goes away.

    :param admission: of the entry.
    :param request: whose body has been read.
    :param ask: the request.
    :return: a ticket to close, or the verdict.
    """

    async def wait(event: anyio.Event) -> bool:
        caller = _CallerWatch()
        async with anyio.create_task_group() as group:
            group.start_soon(caller.run, request, group.cancel_scope)
            await event.wait()
            group.cancel_scope.cancel()
        return not caller.gone

    return await admission.admit(ask, wait)


def charge_at_end(generated: Generated, ticket: Ticket) -> Generated:
    """
    Close a ticket when its answer ends, with the tokens that were run.

    :param generated: the answer.
    :param ticket: its ticket.
    :return: the answer.
    """

    def close(tokens: int) -> None:
        idle = generated.verdict.ran is NOT_RUN and not tokens
        prompt = generated.ask.prompt_tokens()
        well = generated.verdict.ran is RAN
        ticket.close(0 if idle else prompt + tokens, well=well)

    generated.on_end = close
    return generated


def bounded(context: Context, request: Request, ask: StreamAsk) -> StreamAsk | Verdict:
    """
    Give a stream the deadline that its caller named.

    :param context: of the entry.
    :param request: of the caller.
    :param ask: with the default deadline.
    :return: the ask, or the verdict of a bad header.
    """
    now = context.clock()
    seconds = read_deadline(request, ask.deadline - now)
    if isinstance(seconds, Verdict):
        return seconds
    return replace(ask, deadline=now + seconds)


class _CallerWatch:
    """Notices that a caller goes away while its request waits."""

    def __init__(self):
        self.gone = False

    async def run(self, request: Request, scope: anyio.CancelScope) -> None:
        while not self.gone:
            message = await request.receive()
            self.gone = message["type"] == "http.disconnect"
        scope.cancel()

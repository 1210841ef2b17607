"""
Models.

The handlers of chat, completions and the list of models.
"""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from kumquatway.api._admit import admit, ask_of_stream, bounded, charge_at_end
from kumquatway.api._body import check_depth, read_body
from kumquatway.api._context import Caller, Context
from kumquatway.api._errors import bad_request, error_response
from kumquatway.api._generate import CHAT, COMPLETION, Form, Generated
from kumquatway.api._guard import request_id
from kumquatway.api._prompt import chat_prompt, encode_prompt
from kumquatway.api._schema import (
    MAX_STOPS,
    ChatRequest,
    CompletionRequest,
    GenerateRequest,
    ModelEntry,
    ModelList,
)
from kumquatway.streams import Ask
from kumquatway_core import RAN, VERDICT_HEADER, Reason, Verdict, not_run
from kumquatway_core.decoding import decode
from kumquatway_core.events import Refused, RequestStarted
from kumquatway_core.exceptions import InvalidData
from kumquatway_core.text import Priority
from kumquatway_core.wire import TOKEN_BYTES

DEFAULT_MAX_TOKENS = 256
DEFAULT_TIMEOUT = 300.0  # seconds
PRIORITIES = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BULK: 2}
SEED_BOUND = 2**63
ANSWERED = Verdict(ran=RAN)


def model_handlers(context: Context):
    """
    Make the handlers.

    :param context: of the entry.
    :return: handlers of chat, completions, the list of models and one model.
    """

    async def chat(request: Request):
        return await _handle(context, request, ChatRequest, CHAT)

    async def complete(request: Request):
        return await _handle(context, request, CompletionRequest, COMPLETION)

    async def models(request: Request) -> Response:
        caller = context.find_caller(request.headers.get("authorization", ""))
        if isinstance(caller, Verdict):
            return error_response(caller)
        entries = [ModelEntry(id=name) for name in _names(context.text())]
        return _json(ModelList(data=entries))

    async def model(request: Request) -> Response:
        caller = context.find_caller(request.headers.get("authorization", ""))
        if isinstance(caller, Verdict):
            return error_response(caller)
        name = request.path_params["model"]
        if name not in _names(context.text()):
            return error_response(not_run(Reason.NOT_FOUND, f"no model {name!r}"))
        return _json(ModelEntry(id=name))

    return chat, complete, models, model


def _json(document: msgspec.Struct) -> Response:
    body = msgspec.json.encode(document)
    headers = {VERDICT_HEADER: ANSWERED.header_value()}
    return Response(body, headers=headers, media_type="application/json")


def _names(text) -> list[str]:
    names = []
    for name, model in text.models.items():
        names.append(name)
        names.extend(f"{name}:{adapter}" for adapter in model.adapters)
    return names


async def _handle(context: Context, request: Request, kind, form: Form):
    name = request_id(request)
    caller = context.find_caller(request.headers.get("authorization", ""))
    if isinstance(caller, Verdict):
        return _refuse(context, name, caller)
    body = await _read(context, request, kind)
    if isinstance(body, Verdict):
        return _refuse(context, name, body, caller.name)
    ask = _ask(context, name, caller, body)
    if not isinstance(ask, Verdict):
        ask = bounded(context, request, ask)
    if isinstance(ask, Verdict):
        return _refuse(context, name, ask, caller.name)
    ticket = await admit(context.admission, request, ask_of_stream(caller, ask))
    if isinstance(ticket, Verdict):
        return _refuse(context, name, ticket, caller.name)
    started = RequestStarted(request=name, account=caller.name, target=ask.name)
    context.emit(started)
    options = body.stream_options
    generated = Generated(
        streams=context.streams,
        ask=ask,
        form=form,
        model=body.model,
        stream=body.stream,
        usage=options is not None and options.include_usage,
        stops=body.stops(),
        emit=context.emit,
        write_seconds=context.write_seconds,
    )
    return charge_at_end(generated, ticket)


def _refuse(context: Context, name: str, verdict: Verdict, account: str = ""):
    reason = verdict.reason.value
    context.emit(Refused(request=name, reason=reason, account=account))
    return error_response(verdict)


async def _read(context: Context, request: Request, kind) -> GenerateRequest | Verdict:
    refusal = context.refusal()
    if refusal is not None:
        return refusal
    body = await read_body(request, context.limits.body_kib)
    if isinstance(body, Verdict):
        return body
    verdict = check_depth(body, context.limits.json_depth)
    if verdict is not None:
        return verdict
    try:
        return decode(body, kind, codec=msgspec.json)
    except InvalidData as error:
        return bad_request(str(error))


def _ask(
    context: Context, name: str, caller: Caller, body: GenerateRequest
) -> Ask | Verdict:
    base, _, adapter = body.model.partition(":")
    model = context.text().models.get(base)
    if model is None or (adapter and adapter not in model.adapters):
        return not_run(Reason.NOT_FOUND, f"no model {body.model!r}")
    prompt = _prompt(body)
    if isinstance(prompt, Verdict):
        return prompt
    tokens = encode_prompt(prompt)
    verdict = _check(context, body, len(tokens) // TOKEN_BYTES, model.max_context)
    if verdict is not None:
        return verdict
    room = model.max_context - len(tokens) // TOKEN_BYTES
    return Ask(
        request=name,
        name=base,
        model=model,
        adapter=adapter,
        prompt=tokens,
        max_tokens=min(_max_tokens(body), room),
        seed=(body.seed or 0) % SEED_BOUND,
        priority=PRIORITIES[caller.account.priority],
        deadline=context.clock() + DEFAULT_TIMEOUT,
    )


def _prompt(body: GenerateRequest) -> str | Verdict:
    if isinstance(body, ChatRequest):
        if not body.messages:
            return bad_request("messages is empty")
        if any(message.has_media() for message in body.messages):
            return bad_request("messages may hold text only")
        return chat_prompt(body.messages)
    if isinstance(body.prompt, str):
        return body.prompt
    if len(body.prompt) != 1:
        return bad_request("prompt may hold one text only")
    return body.prompt[0]


def _max_tokens(body: GenerateRequest) -> int:
    return body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS


def _check(
    context: Context, body: GenerateRequest, tokens: int, max_context: int
) -> Verdict | None:
    if body.n not in (None, 1):
        return bad_request("n may be 1 only")
    if not tokens:
        return bad_request("the prompt is empty")
    for given in (body.max_tokens, body.max_completion_tokens):
        if given is not None and given < 1:
            return bad_request("max_tokens is at least 1")
    if len(body.stops()) > MAX_STOPS:
        return bad_request(f"stop may hold {MAX_STOPS} texts")
    bound = min(context.limits.prompt_tokens, max_context - 1)
    if tokens > bound:
        detail = f"the prompt has {tokens} tokens, {bound} allowed"
        return not_run(Reason.TOO_LARGE, detail)
    return None

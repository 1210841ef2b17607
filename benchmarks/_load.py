"""
Load.

A caller of streams that checks each answer against the one computed alone.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import httpx

from kumquatway_fakes import answer

KEY = "bench-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
TIMEOUT = 300.0  # seconds
DATA = "data: "


@dataclass(kw_only=True, slots=True)
class Stream:
    """
    One streamed answer as its caller saw it.

    :param request: its id, from the answer's headers.
    :param times: monotonic seconds of each token.
    :param texts: of each token.
    :param finish: why it ended, or "" for an error.
    :param error: the error document or the exception, or "".
    """

    prompt: str
    started: float
    request: str = ""
    times: list[float] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    finish: str = ""
    error: str = ""

    def right(self, *, layers: int, model: str, max_tokens: int) -> bool:
        """
        Compare with the answer computed alone.

        :param layers: of the model.
        :return: True if every token is there once, and no other.
        """
        texts, finish = answer(
            prompt=self.prompt.encode(),
            layers=layers,
            model=model,
            max_tokens=max_tokens,
        )
        return tuple(self.texts) == texts and self.finish == finish


def make_client(url: str) -> httpx.AsyncClient:
    """
    Open a client of an entry.

    :param url: base URL.
    :return: the client.
    """
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
    return httpx.AsyncClient(
        base_url=url, headers=HEADERS, timeout=TIMEOUT, limits=limits, trust_env=False
    )


async def complete(
    http: httpx.AsyncClient,
    *,
    model: str,
    prompt: str,
    max_tokens: int,
    into: Stream | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> Stream:
    """
    Ask for a streamed completion.

    :param http: client of an entry.
    :param model: name.
    :param into: is filled while the answer arrives.
    :return: what came back.
    """
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    stream = into or Stream(prompt=prompt, started=clock())
    try:
        async with http.stream("POST", "/v1/completions", json=body) as response:
            stream.request = response.headers.get("X-Request-Id", "")
            if response.status_code != httpx.codes.OK:
                stream.error = (await response.aread()).decode()
                return stream
            async for line in response.aiter_lines():
                _take(stream, line, clock())
    except httpx.HTTPError as error:
        stream.error = repr(error)
    return stream


def _take(stream: Stream, line: str, now: float) -> None:
    if not line.startswith(DATA + "{"):
        return
    document = json.loads(line[len(DATA) :])
    if "error" in document:
        stream.error = line
        return
    for choice in document["choices"]:
        if choice["text"]:
            stream.texts.append(choice["text"])
            stream.times.append(now)
        stream.finish = choice["finish_reason"] or stream.finish

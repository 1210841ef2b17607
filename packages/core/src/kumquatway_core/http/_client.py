"""
Client.

Opens HTTP clients that share what is costly to make.
"""

import functools
import ssl

import httpx


@functools.cache
def _tls_context() -> ssl.SSLContext:
    return ssl.create_default_context()


def open_client(
    url: str,
    *,
    timeout: httpx.Timeout,
    limits: httpx.Limits,
    transport: httpx.AsyncBaseTransport | None = None,
) -> httpx.AsyncClient:
    """
    Open a client with a pool of its own.

    :param url: base URL.
    :param timeout: of a call, unless the call brings its own.
    :param limits: of the pool.
    :param transport: for tests.
    :return: the client; the caller closes it.
    """
    return httpx.AsyncClient(
        base_url=url,
        transport=transport,
        timeout=timeout,
        limits=limits,
        verify=_tls_context(),
        trust_env=False,
    )


def open_transport(limits: httpx.Limits) -> httpx.AsyncBaseTransport:
    """
    Open a pool of connections without a client's conveniences.

    :param limits: of the pool.
    :return: the transport; the caller closes it.
    """
    return httpx.AsyncHTTPTransport(
        verify=_tls_context(), limits=limits, trust_env=False
    )

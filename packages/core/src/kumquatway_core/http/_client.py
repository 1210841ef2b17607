"""
Opens HTTP clients with limited responses.

They share one TLS context, which is slow to create.
"""

import functools
import socket
import ssl

import httpx

from kumquatway_core.http._heads import install_field_limit
from kumquatway_core.http._limits import IDENTITY, LimitedTransport, process_memory
from kumquatway_core.memory import MemoryBudget


@functools.cache
def _tls_context() -> ssl.SSLContext:
    return ssl.create_default_context()


def open_client(
    url: str,
    *,
    timeout: httpx.Timeout,
    limits: httpx.Limits,
    transport: httpx.AsyncBaseTransport | None = None,
    memory: MemoryBudget = process_memory,
    receive_buffer: int | None = None,
) -> httpx.AsyncClient:
    """
    Open a client with its own connection pool.

    :param url: base URL.
    :param timeout: default timeout of a request.
    :param limits: limits of the connection pool.
    :param transport: transport to use instead of the network, for tests.
    :param memory: bounds what all responses take together.
    :param receive_buffer: of each connection in the kernel, bytes; as much may arrive
        before it counts. None for the kernel's default.
    :return: the client; the caller must close it.
    """
    return httpx.AsyncClient(
        base_url=url,
        headers={"accept-encoding": IDENTITY},
        transport=open_transport(
            limits, transport=transport, memory=memory, receive_buffer=receive_buffer
        ),
        timeout=timeout,
        trust_env=False,
    )


def open_transport(
    limits: httpx.Limits,
    *,
    transport: httpx.AsyncBaseTransport | None = None,
    memory: MemoryBudget = process_memory,
    receive_buffer: int | None = None,
) -> httpx.AsyncBaseTransport:
    """
    Open a connection pool without a client around it.

    :param limits: limits of the connection pool.
    :param transport: transport to use instead of the network, for tests.
    :param memory: bounds what all responses take together.
    :param receive_buffer: of each connection in the kernel, bytes; None for its own
        default.
    :return: the transport; the caller must close it.
    """
    if transport is None:
        install_field_limit()
        options = ()
        if receive_buffer is not None:
            options = ((socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer),)
        transport = httpx.AsyncHTTPTransport(
            verify=_tls_context(),
            limits=limits,
            trust_env=False,
            socket_options=options,
        )
    return LimitedTransport(transport=transport, memory=memory)

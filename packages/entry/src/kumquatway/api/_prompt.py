"""
Prompt.

Turns a request into the tokens of its prompt: one for each byte of UTF-8.
"""

import numpy as np

from kumquatway.api._schema import ChatMessage


def chat_prompt(messages: list[ChatMessage]) -> str:
    """
    Write a conversation as one prompt.

    :param messages: in order.
    :return: the prompt, which ends where the answer begins.
    """
    lines = [f"<|{message.role}|>{message.words()}\n" for message in messages]
    return "".join(lines) + "<|assistant|>"


def encode_prompt(prompt: str) -> bytes:
    """
    Turn a prompt into tokens.

    :param prompt: any text.
    :return: little-endian u32, one for each byte.
    """
    data = prompt.encode("utf-8", errors="surrogatepass")
    return np.frombuffer(data, dtype=np.uint8).astype("<u4").tobytes()

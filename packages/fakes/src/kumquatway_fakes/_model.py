"""
Model.

A function in which each layer folds its index, and the past, into the state.

A skipped, doubled or swapped layer, or a stray token, changes every later token.
"""

import numpy as np

STATE_BYTES = 8  # of one position's activation
TOKEN_BYTES = 4
STOP_EVERY = 97  # one state in so many ends the answer
HEADS = ("ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko")
TAILS = ("ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "sa")
WORDS = tuple(f" {head}{tail}" for head in HEADS for tail in TAILS)
WORD_BASE = 1000  # token ids below it are bytes of a prompt

_FOLD = np.uint64(0x9E3779B97F4A7C15)
_PAST = np.uint64(0xC2B2AE3D27D4EB4F)
_INDEX = np.uint64(0xD6E8FEB86659FD93)
_MASK = 2**64 - 1
_SHIFT = np.uint64(29)


def embed(tokens: np.ndarray, position: int, salt: int) -> np.ndarray:
    """
    Turn tokens into states.

    :param tokens: u32, shape (count,).
    :param position: of the first token.
    :param salt: differs for each model, version and adapter.
    :return: u64, shape (count,).
    """
    count = len(tokens)
    places = np.arange(position, position + count, dtype=np.uint64)
    states = tokens.astype(np.uint64) * _FOLD + places * _INDEX + np.uint64(salt)
    return _mix(states)


def run_layer(states: np.ndarray, layer: int, past: int) -> tuple[np.ndarray, int]:
    """
    Run one layer.

    :param states: u64, shape (count,).
    :param layer: its index.
    :param past: the layer's KV cache: a sum over all earlier positions.
    :return: the new states and the KV cache after them.
    """
    sums = np.cumsum(states, dtype=np.uint64) + np.uint64(past)
    index = np.uint64((layer + 1) * int(_INDEX) & _MASK)
    return _mix(states * _FOLD + sums * _PAST + index), int(sums[-1])


def sample(state: int, seed: int) -> tuple[int, str, bool]:
    """
    Draw the next token.

    :param state: of the last layer at the last position.
    :param seed: of the request.
    :return: token id, its text, and whether it ends the answer.
    """
    drawn = (state ^ (seed * 0x9E3779B97F4A7C15)) & _MASK
    drawn = (drawn * 0xBF58476D1CE4E5B9) & _MASK
    drawn ^= drawn >> 31
    word = drawn % len(WORDS)
    stop = (drawn >> 16) % STOP_EVERY == 0
    return WORD_BASE + word, WORDS[word], stop


def salt_of(model: str, version: str, adapter: str) -> int:
    """
    Tell weights apart.

    :param model: name.
    :param version: of the weights.
    :param adapter: name or "".
    :return: a number below 2**62.
    """
    name = f"{model}/{version}/{adapter}".encode()
    value = 0
    for byte in name:
        value = (value * 1099511628211 + byte + 1) % 2**62
    return value


def answer(
    *,
    prompt: bytes,
    layers: int,
    model: str,
    version: str = "1",
    adapter: str = "",
    seed: int = 0,
    max_tokens: int = 64,
) -> tuple[tuple[str, ...], str]:
    """
    Compute a whole answer alone, for tests.

    :param prompt: its tokens are its bytes.
    :param layers: of the model.
    :param max_tokens: after which the answer ends.
    :return: the text of each token, and why it ended.
    """
    salt = salt_of(model, version, adapter)
    tokens = np.frombuffer(prompt, dtype=np.uint8).astype(np.uint32)
    pasts = [0] * layers
    position = 0
    texts: list[str] = []
    while True:
        states = embed(tokens, position, salt)
        for layer in range(layers):
            states, pasts[layer] = run_layer(states, layer, pasts[layer])
        position += len(tokens)
        token, text, stop = sample(int(states[-1]), seed)
        texts.append(text)
        if stop:
            return tuple(texts), "stop"
        if len(texts) == max_tokens:
            return tuple(texts), "length"
        tokens = np.array([token], dtype=np.uint32)


def _mix(states: np.ndarray) -> np.ndarray:
    return (states ^ (states >> _SHIFT)) * _FOLD

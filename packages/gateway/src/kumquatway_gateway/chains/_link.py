"""Limit the prompts whose activations queue in the link between data centres."""

from collections.abc import Iterable

from kumquatway_gateway.chains._pass_time import MAX_LINK_SECONDS
from kumquatway_gateway.chains._paths import Chain


def can_cross(
    chain: Chain,
    prompt_tokens: float,
    unread: Iterable[tuple[Chain, float]],
    share: float,
) -> bool:
    """
    Tell whether the link has time for a prompt, after those that it carries.

    Load pattern: a chain is lost, and its streams go to one that crosses data centres.
    The activations of all their prompts queue in the link, and each new token of any
    stream behind them. All streams of the chain fall silent, leave it, and have their
    prompts read again, which keeps the link full.

    :param chain: the chain.
    :param prompt_tokens: tokens to read.
    :param unread: prompts of this entry that are still to be read, as chain and tokens.
    :param share: this entry's share of the requests of all entries, 0 to 1.
    :return: True if the chain does not cross, or this entry has no other prompt in the
        link, or all of them are through in time.
    """
    if not chain.crossings or not prompt_tokens:
        return True
    seconds = sum(link_seconds(other, tokens) for other, tokens in unread)
    total = seconds + link_seconds(chain, prompt_tokens)
    return not seconds or total <= MAX_LINK_SECONDS * share


def link_seconds(chain: Chain, tokens: float) -> float:
    """
    Return for how long tokens occupy the link.

    :param chain: the chain that reads them.
    :param tokens: number of tokens.
    :return: seconds, over all crossings of the chain.
    """
    return chain.crossings * tokens * chain.crossing_seconds

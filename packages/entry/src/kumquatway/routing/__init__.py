"""
kumquatway.routing.

Which upstreams serve a request.
"""

from kumquatway.routing._route import choose_replacement, choose_route, choose_upstream

__all__ = ["choose_replacement", "choose_route", "choose_upstream"]

"""
kumquatway._cli.

The `kumquatway` command.
"""

from kumquatway._cli._main import main

__all__ = ["main"]

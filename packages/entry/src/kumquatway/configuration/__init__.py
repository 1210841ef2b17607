"""
kumquatway.configuration.

The text in force at this entry, from the store and from its peers.
"""

from kumquatway.configuration._configuration import Configuration
from kumquatway.configuration._parser import Parser

__all__ = ["Configuration", "Parser"]

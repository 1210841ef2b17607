"""
kumquatway.membership.

Which VMs there are, what they hold, and which may take new work.
"""

from kumquatway.membership._members import Member, Members
from kumquatway.membership._subset import SUBSET, Subset
from kumquatway.membership._watch import Watcher, watch_list

__all__ = ["SUBSET", "Member", "Members", "Subset", "Watcher", "watch_list"]

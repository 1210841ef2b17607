"""
kumquatway_agent.

The process beside each upstream.
"""

"""
kumquatway_fakes.

Stand-ins for the systems around kumquatway.
"""

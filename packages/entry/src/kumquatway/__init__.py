"""
kumquatway.

The entry process and the shell of the operators.
"""

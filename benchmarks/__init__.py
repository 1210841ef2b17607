"""
benchmarks.

Measurements over the ordinary processes and small stand-ins.
"""

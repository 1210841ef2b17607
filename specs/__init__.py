"""
Specifications.

Small models of the core protocols, explored exhaustively within stated bounds.
"""

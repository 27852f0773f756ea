"""Adapter to the observatory platform: header names, document formats and calls.

It decides nothing; it implements the interfaces of `mallowpond.node.ports`.
"""

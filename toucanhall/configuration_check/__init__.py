"""Checks a configuration before an operator writes it to the store.

It decides nothing about requests: VMs never import it.
"""

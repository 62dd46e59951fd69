"""Randomized runs of real VMs under disruptions, with checks of what they did.

A seed decides all draws. The store, the endpoints and the callers run in the
process of the run; the VMs are processes of their own.
"""

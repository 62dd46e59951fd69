"""Measurement of `dispatch` on modelled engines, in virtual time."""
